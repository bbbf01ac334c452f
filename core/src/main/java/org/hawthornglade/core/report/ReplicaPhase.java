package org.hawthornglade.core.report;

/** The phase of a replica that is assigned to an agent; numbered as in the protocol. */
public enum ReplicaPhase {
    ABSENT,
    /** Required, but the load has not been ordered from the engine yet. */
    WAITING,
    LOADING,
    READY,
    UNLOADING
}

package org.hawthornglade.core.report;

/** How far an agent has a replica that is assigned to it; numbered as in the protocol. */
public enum ReplicaPhase {
    ABSENT,
    /** Wanted, but not yet ordered from the engine. */
    WAITING,
    LOADING,
    READY,
    UNLOADING
}

package org.hawthornglade.core.chart;

/** The states of a replica at its agent. */
public enum ReplicaState {
    /** Not loaded; takes no memory. */
    ABSENT,
    /** A load is decided and waits for memory or for a turn at the weight store. */
    WAITING,
    /** The engine was ordered to load it, or was found loading it. */
    LOADING,
    /** Answers requests. */
    READY,
    /** Takes no new requests; unloads when the running ones are done. */
    DRAINING,
    /** The engine was ordered to unload it; its memory stays reserved. */
    UNLOADING,
    /** A load broke off or its outcome is unknown; its memory stays reserved until it is cleaned up. */
    HALF_PRESENT
}

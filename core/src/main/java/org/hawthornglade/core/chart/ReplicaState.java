package org.hawthornglade.core.chart;

/** The states of a replica at its agent. */
public enum ReplicaState {
    /** Not loaded; occupies no memory. */
    ABSENT,
    /** A load was decided and waits for memory or for its turn at the weight store. */
    WAITING,
    /** The engine was ordered to load it, or was found loading it. */
    LOADING,
    /** Serves requests. */
    READY,
    /** Accepts no new requests; is unloaded when the running ones have ended. */
    DRAINING,
    /** The engine was ordered to unload it; its memory stays reserved. */
    UNLOADING,
    /** A load was aborted or its outcome is unknown; its memory stays reserved until it is cleaned up. */
    HALF_PRESENT
}

package org.hawthornglade.core.chart;

/** The events of a replica at its agent. */
public enum ReplicaEvent {
    /** A load was decided. */
    LOAD_DECIDED,
    /** The engine accepted the load order, or may have. */
    LOAD_ORDERED,
    /** The decision to load was withdrawn before an order. */
    LOAD_ABANDONED,
    /** A report shows that the replica is ready. */
    LOAD_FINISHED,
    /** A report shows that the load was aborted, or the order was refused. */
    LOAD_FAILED,
    /** An unload was decided. */
    UNLOAD_DECIDED,
    /** The last running request ended or the time limit of the drain passed. */
    DRAINED,
    /** A report taken after the last order shows that the engine does not have the replica. */
    GONE_REPORTED
}

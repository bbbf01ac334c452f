package org.hawthornglade.core.chart;

/** What happens to a replica at its agent. */
public enum ReplicaEvent {
    /** The load order was decided on. */
    LOAD_DECIDED,
    /** The engine took in the load order, or may have. */
    LOAD_ORDERED,
    /** The decision to load was taken back before an order. */
    LOAD_ABANDONED,
    /** A report shows it ready. */
    LOAD_FINISHED,
    /** A report shows that the load broke off, or the order was refused. */
    LOAD_FAILED,
    /** It is to be unloaded. */
    UNLOAD_DECIDED,
    /** The last running request ended or the limit passed. */
    DRAINED,
    /** A report taken after the last order shows that the engine does not have it. */
    GONE_REPORTED
}

package org.hawthornglade.core.chart;

/** The events of a plan. */
public enum PlanEvent {
    /** An operator confirms it. */
    CONFIRM,
    /** The transaction committed, or reading back shows that it did. */
    COMMITTED,
    /** Another plan was confirmed on the same base. */
    BASE_MOVED,
    /** The transaction is known to have had no effect, and the base is still in force. */
    NOT_COMMITTED,
    /** The retention time has passed. */
    RETENTION_PASSED
}

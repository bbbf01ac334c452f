package org.hawthornglade.core.chart;

/** What happens to a plan. */
public enum PlanEvent {
    /** An operator confirms it. */
    CONFIRM,
    /** The transaction committed, or reading back shows that it had. */
    COMMITTED,
    /** Another plan was confirmed on the same base. */
    BASE_MOVED,
    /** The transaction certainly had no effect, and the base still holds. */
    NOT_COMMITTED,
    /** The retention time has passed. */
    RETENTION_PASSED
}

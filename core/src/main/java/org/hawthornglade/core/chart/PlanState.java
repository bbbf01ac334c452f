package org.hawthornglade.core.chart;

/** The states of a plan. */
public enum PlanState {
    /** Made but not confirmed; its base is the configuration in force. */
    OPEN,
    /** The confirming transaction was sent; its outcome is not known yet. */
    CONFIRMING,
    /** Its result is a configuration in force, or was. */
    CONFIRMED,
    /** Its base is no longer in force; a fresh plan replaces it. */
    STALE,
    /** It was not confirmed within the retention time. */
    EXPIRED
}

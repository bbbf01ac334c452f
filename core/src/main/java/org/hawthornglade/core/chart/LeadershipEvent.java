package org.hawthornglade.core.chart;

/** What changes an entry's part in the lease of the placement leader. */
public enum LeadershipEvent {
    CLAIM_SENT,
    WON,
    LOST,
    STOP
}

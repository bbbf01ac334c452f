package org.hawthornglade.core.chart;

/** The events that change an entry's role in the lease of the placement leader. */
public enum LeadershipEvent {
    CLAIM_SENT,
    WON,
    LOST,
    STOP
}

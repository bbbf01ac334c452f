package org.hawthornglade.core.chart;

/** An entry's role in the lease of the placement leader. */
public enum LeadershipState {
    FOLLOWING,
    CLAIMING,
    LEADING,
    RESIGNED
}

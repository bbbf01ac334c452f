package org.hawthornglade.core.chart;

/** The chart of the placement leader's lease; apart from {@link Charts}, so that an entry reads no others. */
public final class LeadershipChart {
    /** An entry's part in the lease of the placement leader. */
    public static final StateChart<LeadershipState, LeadershipEvent> CHART =
            ChartLoader.load("leadership.json", LeadershipState.class, LeadershipEvent.class);

    private LeadershipChart() {}
}

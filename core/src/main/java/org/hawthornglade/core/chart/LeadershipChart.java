package org.hawthornglade.core.chart;

/** The chart of the placement leader's lease; separate from {@link Charts}, so that an entry loads no others. */
public final class LeadershipChart {
    /** An entry's role in the lease of the placement leader. */
    public static final StateChart<LeadershipState, LeadershipEvent> CHART =
            ChartLoader.load("leadership.json", LeadershipState.class, LeadershipEvent.class);

    private LeadershipChart() {}
}

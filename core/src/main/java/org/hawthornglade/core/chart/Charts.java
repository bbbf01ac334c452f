package org.hawthornglade.core.chart;

import java.util.List;

/** The state charts of the system, loaded and validated when this class is first used. */
public final class Charts {
    /** The life cycle of a replica at an agent. */
    public static final StateChart<ReplicaState, ReplicaEvent> REPLICA =
            ChartLoader.load("replica.json", ReplicaState.class, ReplicaEvent.class);

    /** The life cycle of one attempt at a request, as its entry sees it. */
    public static final StateChart<AttemptState, AttemptEvent> ATTEMPT =
            ChartLoader.load("attempt.json", AttemptState.class, AttemptEvent.class);

    /** The life cycle of an entry's connection to an endpoint's agent. */
    public static final StateChart<EndpointState, EndpointEvent> ENDPOINT =
            ChartLoader.load("endpoint.json", EndpointState.class, EndpointEvent.class);

    /** The life cycle of a plan. */
    public static final StateChart<PlanState, PlanEvent> PLAN =
            ChartLoader.load("plan.json", PlanState.class, PlanEvent.class);

    private Charts() {}

    /** Returns all charts, in the order of the documentation. */
    public static List<StateChart<?, ?>> all() {
        return List.of(REPLICA, ATTEMPT, ENDPOINT, PLAN, LeadershipChart.CHART);
    }
}

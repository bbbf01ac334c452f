package org.hawthornglade.core.replica;

import org.hawthornglade.core.id.ModelName;

/** Estimates how many replicas of a model its calls need. */
final class ReplicaCountEstimator {
    /** A conservative estimate of the prompt tokens that an engine processes in a second. */
    private static final double PROMPT_TOKENS_PER_S = 30_000;
    /** The engine time of a call besides its prompt, in seconds: its share of the steps of a batch. */
    private static final double SECONDS_PER_CALL = 0.006;
    /** Above this utilisation calls wait at an engine for longer than they run. */
    private static final double MAX_UTILISATION = 0.5;
    /** A replica is unloaded only when the utilisation of the others would stay below this. */
    private static final double RETAIN_UTILISATION = 0.35;

    /** Before the first call, this many replicas of a model that is loaded on many engines stay. */
    private static final int REPLICAS_BEFORE_FIRST_CALL = 3;

    private final EntryDemandAggregator demand;

    ReplicaCountEstimator(EntryDemandAggregator demand) {
        this.demand = demand;
    }

    /** Returns how many replicas the calls for a model need; at least 1. */
    int requiredReplicas(ModelName model, long nowMs) {
        return Math.max(1, (int) Math.ceil(enginesOccupied(model, nowMs) / MAX_UTILISATION));
    }

    /** Returns how many replicas are kept when there are more than required; at least 1. */
    int retainedReplicas(ModelName model, long nowMs) {
        if (!demand.anyArrivals(nowMs)) {
            return REPLICAS_BEFORE_FIRST_CALL;
        }
        return Math.max(1, (int) Math.ceil(enginesOccupied(model, nowMs) / RETAIN_UTILISATION));
    }

    /** Returns the engine seconds of work that the calls for a model bring in a second. */
    private double enginesOccupied(ModelName model, long nowMs) {
        return demand.promptTokensPerSecond(model, nowMs) / PROMPT_TOKENS_PER_S
                + demand.callsPerSecond(model, nowMs) * SECONDS_PER_CALL;
    }
}

package org.hawthornglade.core.replica;

import org.hawthornglade.core.id.ModelName;

/** Says how many copies of a model its calls keep busy. */
final class ReplicaCountEstimator {
    /** Prompt tokens that an engine reads in a second, cautiously. */
    private static final double PROMPT_TOKENS_PER_S = 30_000;
    /** What a call takes of an engine besides its prompt, in seconds: its share of the steps of a batch. */
    private static final double SECONDS_PER_CALL = 0.006;
    /** Beyond this share of its time an engine keeps calls waiting for longer than they take. */
    private static final double MAX_UTILISATION = 0.5;
    /** A copy that is there is given up only when the others would be busy for less than this share. */
    private static final double RETAIN_UTILISATION = 0.35;

    /** While no call has come yet, this many copies of what was placed on many engines stay. */
    private static final int REPLICAS_BEFORE_FIRST_CALL = 3;

    private final DemandTracker demand;

    ReplicaCountEstimator(DemandTracker demand) {
        this.demand = demand;
    }

    /** Returns how many copies the calls of a model need. */
    int requiredReplicas(ModelName model, long nowMs) {
        return Math.max(1, (int) Math.ceil(enginesOccupied(model, nowMs) / MAX_UTILISATION));
    }

    /** Returns how many copies stay when there are more than are wanted. */
    int retainedReplicas(ModelName model, long nowMs) {
        if (!demand.anyArrivals(nowMs)) {
            return REPLICAS_BEFORE_FIRST_CALL;
        }
        return Math.max(1, (int) Math.ceil(enginesOccupied(model, nowMs) / RETAIN_UTILISATION));
    }

    /** Returns the work of a second, in seconds of one engine. */
    private double enginesOccupied(ModelName model, long nowMs) {
        return demand.promptTokensPerSecond(model, nowMs) / PROMPT_TOKENS_PER_S
                + demand.callsPerSecond(model, nowMs) * SECONDS_PER_CALL;
    }
}

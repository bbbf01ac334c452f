package org.hawthornglade.core.replica;

import org.hawthornglade.core.id.ModelName;

/** Says how many copies of a model its calls keep busy. */
final class CopyNeed {
    /** Prompt tokens that an engine reads in a second, cautiously. */
    private static final double PROMPT_TOKENS_PER_S = 30_000;
    /** What a call takes of an engine besides its prompt, in seconds: its share of the steps of a batch. */
    private static final double CALL_S = 0.006;
    /** Beyond this share of its time an engine keeps calls waiting for longer than they take. */
    private static final double BUSY_SHARE = 0.5;
    /** A copy that is there is given up only when the others would be busy for less than this share. */
    private static final double RELAXED_SHARE = 0.35;

    /** While no call has come yet, this many copies of what was placed on many engines stay. */
    private static final int COPIES_BEFORE_CALLS = 3;

    private final DemandBook demand;

    CopyNeed(DemandBook demand) {
        this.demand = demand;
    }

    /** Returns how many copies the calls of a model need. */
    int wanted(ModelName model, long nowMs) {
        return Math.max(1, (int) Math.ceil(engines(model, nowMs) / BUSY_SHARE));
    }

    /** Returns how many copies stay when there are more than are wanted. */
    int kept(ModelName model, long nowMs) {
        if (!demand.anyArrivals(nowMs)) {
            return COPIES_BEFORE_CALLS;
        }
        return Math.max(1, (int) Math.ceil(engines(model, nowMs) / RELAXED_SHARE));
    }

    /** Returns the work of a second, in seconds of one engine. */
    private double engines(ModelName model, long nowMs) {
        return demand.promptTokensPerSecond(model, nowMs) / PROMPT_TOKENS_PER_S
                + demand.callsPerSecond(model, nowMs) * CALL_S;
    }
}

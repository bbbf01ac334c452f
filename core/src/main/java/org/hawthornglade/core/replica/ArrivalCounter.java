package org.hawthornglade.core.replica;

/** Counts the calls for one model that arrive at an entry. */
public final class ArrivalCounter {
    /** The time without calls after which a rate has halved, in milliseconds. */
    private static final double HALF_LIFE_MS = 5_000;
    /** The minimum latency target is reset after this many calls, so that an old one does not persist. */
    private static final long TARGET_WINDOW_CALLS = 16;

    private static final double DECAY_PER_MS = Math.log(2) / HALF_LIFE_MS;
    private static final double MS_PER_S = 1_000;

    private double callsPerMs;
    private double tokensPerMs;
    private long rateAtMs;
    private long calls;
    private long minLatencyTargetMs = Long.MAX_VALUE;

    /**
     * Records a call.
     *
     * @param targetMs its latency target, in milliseconds
     * @param ownTokens the number of prompt tokens that it does not share with other calls
     */
    public void onCall(long targetMs, int ownTokens, long nowMs) {
        boolean restartWindow = calls % TARGET_WINDOW_CALLS == 0;
        minLatencyTargetMs = restartWindow ? targetMs : Math.min(minLatencyTargetMs, targetMs);
        tokensPerMs = decayed(tokensPerMs, nowMs) + ownTokens * DECAY_PER_MS;
        callsPerMs = decayed(callsPerMs, nowMs) + DECAY_PER_MS;
        rateAtMs = nowMs;
        calls++;
    }

    /** Returns the recent arrival rates and the minimum latency target. */
    public ModelArrivals arrivals(long nowMs) {
        return new ModelArrivals(
                decayed(callsPerMs, nowMs) * MS_PER_S, minLatencyTargetMs, decayed(tokensPerMs, nowMs) * MS_PER_S);
    }

    private double decayed(double rate, long nowMs) {
        return rate * Math.exp(-(nowMs - rateAtMs) * DECAY_PER_MS);
    }
}

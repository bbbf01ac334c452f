package org.hawthornglade.core.replica;

/** Counts the calls that ask an entry for one model. */
public final class ArrivalCounter {
    /** After this time without calls a rate has halved. */
    private static final double HALF_LIFE_MS = 5_000;
    /** The tightest target is taken anew after this many calls, so that an old one does not stay. */
    private static final long TARGET_WINDOW_CALLS = 16;

    private static final double DECAY_PER_MS = Math.log(2) / HALF_LIFE_MS;
    private static final double MS_PER_S = 1_000;

    private double callsPerMs;
    private double tokensPerMs;
    private long rateAtMs;
    private long calls;
    private long minLatencyTargetMs = Long.MAX_VALUE;

    /**
     * Takes note of a call.
     *
     * @param targetMs its latency target
     * @param ownTokens the part of its prompt that it does not share with others
     */
    public void onCall(long targetMs, int ownTokens, long nowMs) {
        boolean forget = calls % TARGET_WINDOW_CALLS == 0;
        minLatencyTargetMs = forget ? targetMs : Math.min(minLatencyTargetMs, targetMs);
        tokensPerMs = decayed(tokensPerMs, nowMs) + ownTokens * DECAY_PER_MS;
        callsPerMs = decayed(callsPerMs, nowMs) + DECAY_PER_MS;
        rateAtMs = nowMs;
        calls++;
    }

    /** Returns the recent arrivals. */
    public ModelArrivals arrivals(long nowMs) {
        return new ModelArrivals(
                decayed(callsPerMs, nowMs) * MS_PER_S, minLatencyTargetMs, decayed(tokensPerMs, nowMs) * MS_PER_S);
    }

    private double decayed(double rate, long nowMs) {
        return rate * Math.exp(-(nowMs - rateAtMs) * DECAY_PER_MS);
    }
}

package org.hawthornglade.core.pace;

/** Estimates how long work takes at one server relative to the usual time, from its responses. */
public final class PaceEstimator {
    /** Time after which a learned value counts half, since the server may have changed. */
    static final long HALF_LIFE_MS = 20_000;
    /** Weight of the newest response; a burst of noise of a few responses moves the estimate by less than its size. */
    private static final double NEWEST_WEIGHT = 0.1;
    /** Time in which the base follows slower responses, however many there are, so that it lags behind an overload. */
    private static final double SLOWER_TIME_MS = 10_000;
    /** The first responses are averaged, so that the speed of a new server is known early. */
    private static final int AVERAGED_RESPONSES = 8;

    private static final double MIN_SLOWDOWN = 0.1;
    private static final double MAX_SLOWDOWN = 20;

    private final int startResponses;
    private final double newestWeight;
    private double meanLog;
    private double baseLog;
    private int responses;
    private long newestAtMs = Long.MIN_VALUE / 2;

    /** Creates an estimator that follows a change of the server within some responses. */
    public PaceEstimator() {
        this(1, NEWEST_WEIGHT);
    }

    /**
     * Creates an estimator.
     *
     * @param startResponses how many responses the usual time counts as
     * @param newestWeight the least weight of the newest response
     */
    PaceEstimator(int startResponses, double newestWeight) {
        this.startResponses = startResponses;
        this.newestWeight = newestWeight;
    }

    /**
     * Records a response.
     *
     * @param measuredMs how long it took
     * @param usualMs how long the same work usually takes; nothing is recorded unless it is positive
     */
    public void onResponse(double measuredMs, double usualMs, long nowMs) {
        if (usualMs <= 0 || measuredMs < 0) {
            return;
        }
        double sample = Math.log(bounded(measuredMs / usualMs));
        double decay = decay(nowMs);
        meanLog *= decay;
        baseLog *= decay;
        responses++;
        double averaged = responses <= AVERAGED_RESPONSES ? 1.0 / (responses + startResponses) : 0;
        meanLog += Math.max(averaged, newestWeight) * (sample - meanLog);
        double slowerWeight = 1 - Math.exp(-Math.max(0, ageMs(nowMs)) / SLOWER_TIME_MS);
        double baseWeight = sample > baseLog ? Math.min(newestWeight, slowerWeight) : newestWeight;
        baseLog += Math.max(averaged, baseWeight) * (sample - baseLog);
        newestAtMs = nowMs;
    }

    /** Returns the expected duration of work relative to the usual one. */
    public double slowdown(long nowMs) {
        return Math.exp(meanLog * decay(nowMs));
    }

    /** Returns the duration relative to the usual one when the server is not overloaded. */
    public double baseSlowdown(long nowMs) {
        return Math.exp(baseLog * decay(nowMs));
    }

    /** Returns the age of the newest response in milliseconds; very large if there was none. */
    public long ageMs(long nowMs) {
        return nowMs - newestAtMs;
    }

    private double decay(long nowMs) {
        return Math.pow(0.5, Math.max(0, ageMs(nowMs)) / (double) HALF_LIFE_MS);
    }

    private static double bounded(double slowdown) {
        return Math.max(MIN_SLOWDOWN, Math.min(MAX_SLOWDOWN, slowdown));
    }
}

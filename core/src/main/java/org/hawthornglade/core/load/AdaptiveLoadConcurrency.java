package org.hawthornglade.core.load;

/**
 * Adapts the number of loads in flight to the observed throughput of the weight store, by additive increase and
 * multiplicative decrease.
 *
 * <p>The speed of a load that ran beside others shows the total throughput. While that grows with the number of loads,
 * the limit grows; when more loads no longer add throughput, or the store rejects one, the limit falls, so that the
 * first loads end sooner.
 */
public final class AdaptiveLoadConcurrency implements LoadConcurrency {
    private static final double DECREASE_FACTOR = 0.7;
    private static final double SMOOTHING_FACTOR = 0.3;
    // A load slower than this share of the usual speed indicates a saturated store.
    private static final double SATURATED_SHARE = 0.6;
    private static final long DEFAULT_RETRY_MS = 500;

    private final int maxLimit;
    private double limit;
    private double usualMbPerMs;
    private long notBeforeMs;

    /**
     * Creates an adaptive limit.
     *
     * @param startLimit the initial number of loads that may run; at least 1
     * @param maxLimit the highest number of loads that may run
     */
    public AdaptiveLoadConcurrency(int startLimit, int maxLimit) {
        this.limit = startLimit;
        this.maxLimit = maxLimit;
    }

    @Override
    public boolean mayStart(int inFlight, long nowMs) {
        return inFlight < (int) limit && nowMs >= notBeforeMs;
    }

    @Override
    public void onCompleted(int memoryMb, long durationMs, int inFlight, long nowMs) {
        double mbPerMs = (double) memoryMb / Math.max(1, durationMs);
        if (usualMbPerMs > 0 && mbPerMs < SATURATED_SHARE * usualMbPerMs) {
            limit = Math.max(1, limit * DECREASE_FACTOR);
        } else if (inFlight >= (int) limit) {
            limit = Math.min(maxLimit, limit + 1 / limit);
        }
        // The usual speed follows a lasting slowdown gradually and a higher speed at once.
        usualMbPerMs = Math.max(mbPerMs, usualMbPerMs + SMOOTHING_FACTOR * (mbPerMs - usualMbPerMs));
    }

    @Override
    public void onRateLimited(long retryAfterMs, long nowMs) {
        limit = Math.max(1, limit * DECREASE_FACTOR);
        notBeforeMs = Math.max(notBeforeMs, nowMs + (retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_MS));
    }
}

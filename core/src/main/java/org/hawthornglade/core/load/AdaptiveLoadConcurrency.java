package org.hawthornglade.core.load;

/**
 * Loads in flight by what the weight store is seen to carry: additive increase, multiplicative decrease.
 *
 * <p>A load that ran beside others tells what they got together. While that grows with their number the limit grows;
 * when more loads no longer carry more, or the store refuses, the limit falls, so that the first loads end sooner.
 */
public final class AdaptiveLoadConcurrency implements LoadConcurrency {
    private static final double DECREASE_FACTOR = 0.7;
    private static final double SMOOTHING_FACTOR = 0.3;
    // A load slower than this share of the usual speed means that the store is saturated.
    private static final double SATURATED_SHARE = 0.6;
    private static final long DEFAULT_RETRY_MS = 500;

    private final int maxLimit;
    private double limit;
    private double usualMbPerMs;
    private long notBeforeMs;

    /**
     * Starts with a limit.
     *
     * @param startLimit how many loads may run at first; at least 1
     * @param maxLimit how many may run at most
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
        // The usual speed follows a lasting change, a faster one at once.
        usualMbPerMs = Math.max(mbPerMs, usualMbPerMs + SMOOTHING_FACTOR * (mbPerMs - usualMbPerMs));
    }

    @Override
    public void onRateLimited(long retryAfterMs, long nowMs) {
        limit = Math.max(1, limit * DECREASE_FACTOR);
        notBeforeMs = Math.max(notBeforeMs, nowMs + (retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_MS));
    }
}

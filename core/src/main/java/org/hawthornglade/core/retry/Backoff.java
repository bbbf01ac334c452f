package org.hawthornglade.core.retry;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter.
 *
 * @param baseMs the longest delay before the first repeated attempt, in milliseconds; above 0
 * @param capMs the longest delay at all, in milliseconds; at least {@code baseMs}
 */
public record Backoff(long baseMs, long capMs) {
    private static final int MAX_SHIFT = 30;

    /** Checks the fields. */
    public Backoff {
        if (baseMs <= 0 || capMs < baseMs) {
            throw new IllegalArgumentException("not a backoff: baseMs=" + baseMs + " capMs=" + capMs);
        }
    }

    /**
     * Returns how long to wait before an attempt.
     *
     * @param attempt 1 for the first repeated attempt
     * @param random the source of randomness
     * @return milliseconds, at least 1
     */
    public long delayMs(int attempt, RandomGenerator random) {
        int shift = Math.min(MAX_SHIFT, Math.max(0, attempt - 1));
        long longestMs = Math.min(capMs, baseMs << shift);
        return 1 + random.nextLong(longestMs);
    }
}

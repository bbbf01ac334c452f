package org.hawthornglade.core.retry;

import java.util.random.RandomGenerator;

/**
 * An exponential backoff with full jitter.
 *
 * @param baseMs the maximum delay before the first repeated attempt, in milliseconds; above 0
 * @param capMs the maximum delay before any attempt, in milliseconds; at least {@code baseMs}
 */
public record Backoff(long baseMs, long capMs) {
    private static final int MAX_SHIFT = 30;

    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException if a field is out of range
     */
    public Backoff {
        if (baseMs <= 0 || capMs < baseMs) {
            throw new IllegalArgumentException("invalid backoff: baseMs=" + baseMs + " capMs=" + capMs);
        }
    }

    /**
     * Returns a random delay before an attempt.
     *
     * @param attempt 1 for the first repeated attempt
     * @param random the source of randomness
     * @return the delay in milliseconds, at least 1
     */
    public long delayMs(int attempt, RandomGenerator random) {
        int shift = Math.min(MAX_SHIFT, Math.max(0, attempt - 1));
        long maxDelayMs = Math.min(capMs, baseMs << shift);
        return 1 + random.nextLong(maxDelayMs);
    }
}

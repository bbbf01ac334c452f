package org.hawthornglade.entry.claim;

import java.util.random.RandomGenerator;
import org.hawthornglade.core.retry.Backoff;

/**
 * Keeps calls away from a store that fails: after a failure none is made for a growing, jittered time, then one alone.
 *
 * <p>Safe for use by several threads.
 */
final class StoreCircuitBreaker {
    private final Backoff backoff;
    private final RandomGenerator random;
    private int failures;
    private long blockedUntilMs;
    private boolean probing;

    StoreCircuitBreaker(Backoff backoff, RandomGenerator random) {
        this.backoff = backoff;
        this.random = random;
    }

    /** Returns how long callers had better stay away, in milliseconds; 0 if a call may be tried. */
    synchronized long retryAfterMs(long nowMs) {
        if (failures == 0) {
            return 0;
        }
        if (nowMs >= blockedUntilMs && !probing) {
            return 0;
        }
        // Spread, so that those who were refused together do not come back together.
        long leftMs = Math.max(0, blockedUntilMs - nowMs);
        return leftMs + backoff.delayMs(failures, random);
    }

    /** Asks to make a call; every true is followed by one of {@link #recordSuccess} and {@link #recordFailure}. */
    synchronized boolean tryAcquire(long nowMs) {
        if (failures == 0) {
            return true;
        }
        if (probing || nowMs < blockedUntilMs) {
            return false;
        }
        probing = true;
        return true;
    }

    synchronized void recordSuccess() {
        failures = 0;
        probing = false;
    }

    synchronized void recordFailure(long nowMs) {
        failures++;
        probing = false;
        blockedUntilMs = nowMs + backoff.delayMs(failures, random);
    }
}

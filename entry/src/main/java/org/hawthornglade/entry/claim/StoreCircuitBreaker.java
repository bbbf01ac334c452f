package org.hawthornglade.entry.claim;

import java.util.random.RandomGenerator;
import org.hawthornglade.core.retry.Backoff;

/**
 * Stops calls to a failing store: after a failure no call is made for a growing, jittered time, then a single probe.
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

    /** Returns after how long callers should retry, in milliseconds; 0 if a call may be made now. */
    synchronized long retryAfterMs(long nowMs) {
        if (failures == 0) {
            return 0;
        }
        if (nowMs >= blockedUntilMs && !probing) {
            return 0;
        }
        // Jitter, so that callers that were refused together do not retry together.
        long remainingMs = Math.max(0, blockedUntilMs - nowMs);
        return remainingMs + backoff.delayMs(failures, random);
    }

    /** Returns whether a call may be made; if so, {@link #recordSuccess} or {@link #recordFailure} must follow. */
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

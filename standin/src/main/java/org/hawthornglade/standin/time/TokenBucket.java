package org.hawthornglade.standin.time;

import org.hawthornglade.core.time.Clock;

/** Limits a rate by a token bucket whose capacity is the allowance of one second. */
public final class TokenBucket {
    private static final double MS_PER_SECOND = 1_000.0;

    private final int perSecond;
    private final Clock clock;
    private double tokens;
    private long refilledAtMs;

    /** Creates a full bucket. */
    public TokenBucket(int perSecond, Clock clock) {
        this.perSecond = perSecond;
        this.clock = clock;
        this.tokens = perSecond;
        this.refilledAtMs = clock.nowMs();
    }

    /** Takes one token and returns 0; if none is available, returns the milliseconds until one is. */
    public long takeOrGetWaitMs() {
        long nowMs = clock.nowMs();
        tokens = Math.min(perSecond, tokens + (nowMs - refilledAtMs) * perSecond / MS_PER_SECOND);
        refilledAtMs = nowMs;
        if (tokens >= 1) {
            tokens -= 1;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - tokens) * MS_PER_SECOND / perSecond));
    }
}

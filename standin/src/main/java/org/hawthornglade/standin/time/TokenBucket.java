package org.hawthornglade.standin.time;

import org.hawthornglade.core.time.Clock;

/** A token bucket that holds what one second allows. */
public final class TokenBucket {
    private static final double MS_PER_SECOND = 1_000.0;

    private final int perSecond;
    private final Clock clock;
    private double tokens;
    private long filledAtMs;

    /** Creates a bucket that is full. */
    public TokenBucket(int perSecond, Clock clock) {
        this.perSecond = perSecond;
        this.clock = clock;
        this.tokens = perSecond;
        this.filledAtMs = clock.nowMs();
    }

    /** Takes one token; returns 0, or if there is none the milliseconds until there is one. */
    public long takeOrGetWaitMs() {
        long nowMs = clock.nowMs();
        tokens = Math.min(perSecond, tokens + (nowMs - filledAtMs) * perSecond / MS_PER_SECOND);
        filledAtMs = nowMs;
        if (tokens >= 1) {
            tokens -= 1;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - tokens) * MS_PER_SECOND / perSecond));
    }
}

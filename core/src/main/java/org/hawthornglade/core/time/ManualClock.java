package org.hawthornglade.core.time;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that moves only when told to, for tests and experiments. */
public final class ManualClock implements Clock {
    private final AtomicLong nowMs;

    /**
     * Creates a clock that stands still.
     *
     * @param startMs the first time it tells, in milliseconds
     */
    public ManualClock(long startMs) {
        this.nowMs = new AtomicLong(startMs);
    }

    @Override
    public long nowMs() {
        return nowMs.get();
    }

    /**
     * Moves the clock forward.
     *
     * @param byMs how far, in milliseconds; not negative
     * @throws IllegalArgumentException if {@code byMs} is negative
     */
    public void advance(long byMs) {
        if (byMs < 0) {
            throw new IllegalArgumentException("byMs is negative: " + byMs);
        }
        nowMs.addAndGet(byMs);
    }
}

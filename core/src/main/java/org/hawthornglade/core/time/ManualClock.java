package org.hawthornglade.core.time;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that is advanced explicitly, for tests and experiments. */
public final class ManualClock implements Clock {
    private final AtomicLong nowMs;

    /**
     * Creates a stopped clock.
     *
     * @param startMs the initial time in milliseconds
     */
    public ManualClock(long startMs) {
        this.nowMs = new AtomicLong(startMs);
    }

    @Override
    public long nowMs() {
        return nowMs.get();
    }

    /**
     * Advances the clock.
     *
     * @param byMs the number of milliseconds; not negative
     * @throws IllegalArgumentException if {@code byMs} is negative
     */
    public void advance(long byMs) {
        if (byMs < 0) {
            throw new IllegalArgumentException("byMs is negative: " + byMs);
        }
        nowMs.addAndGet(byMs);
    }
}

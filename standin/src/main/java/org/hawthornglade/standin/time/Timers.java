package org.hawthornglade.standin.time;

import org.hawthornglade.core.time.Clock;

/** Schedules actions by a clock. */
public interface Timers extends AutoCloseable {
    /** Returns the clock that measures the delays. */
    Clock clock();

    /**
     * Runs an action after a delay.
     *
     * @param delayMs the delay in milliseconds; 0 or less runs it as soon as possible
     */
    void after(long delayMs, Runnable action);

    /** Discards the actions that have not run yet. */
    @Override
    void close();
}

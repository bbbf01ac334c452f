package org.hawthornglade.standin.time;

import org.hawthornglade.core.time.Clock;

/** Runs actions later, by one clock. */
public interface Timers extends AutoCloseable {
    /** Returns the clock that the delays are counted by. */
    Clock clock();

    /**
     * Runs an action after a delay.
     *
     * @param delayMs in milliseconds; 0 or less runs it as soon as possible
     */
    void after(long delayMs, Runnable action);

    /** Drops what has not run yet. */
    @Override
    void close();
}

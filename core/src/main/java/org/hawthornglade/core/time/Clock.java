package org.hawthornglade.core.time;

/** A source of the time in milliseconds. */
@FunctionalInterface
public interface Clock {
    /** Returns the milliseconds since the Unix epoch; never lower than an earlier answer of the same clock. */
    long nowMs();

    /** Returns a clock that follows the system's wall time but never goes back. */
    static Clock system() {
        return new SystemClock();
    }
}

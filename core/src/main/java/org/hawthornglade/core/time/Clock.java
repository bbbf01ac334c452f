package org.hawthornglade.core.time;

/** A source of the current time in milliseconds. */
@FunctionalInterface
public interface Clock {
    /** Returns the milliseconds since the Unix epoch; never lower than an earlier result of the same clock. */
    long nowMs();

    /** Returns a clock that follows the system's wall-clock time but never goes backwards. */
    static Clock system() {
        return new SystemClock();
    }
}

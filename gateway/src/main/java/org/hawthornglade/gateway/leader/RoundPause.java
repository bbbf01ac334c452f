package org.hawthornglade.gateway.leader;

/** How long the leader waits between two planning rounds, which leaves time for all other work. */
final class RoundPause {
    /** Shortest pause between two planning rounds, however many entries send updates, in milliseconds. */
    private static final long MIN_PAUSE_MS = 10;
    /** The pause after a planning round is this many times its duration. */
    private static final long DURATION_FACTOR = 9;

    /** Longest pause, which is the interval of heartbeats: callers wait for the loads that a round would order. */
    private static final long MAX_PAUSE_MS = 300;

    private RoundPause() {}

    /** Returns the pause after a round of the given duration, both in milliseconds. */
    static long afterMs(long roundMs) {
        return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, DURATION_FACTOR * roundMs));
    }
}

package org.hawthornglade.bench.crash;

/**
 * Holds the parameters of one run.
 *
 * @param seed the seed of all random choices
 * @param entries the number of entries
 * @param kind what crashes the engines
 * @param deadlyShare the share of calls that crash their engines while they arrive, from 0 to 1
 * @param faults whether engines also crash, leave and lose connections without a cause in a prompt
 */
public record CrashOptions(long seed, int entries, DeadlyKind kind, double deadlyShare, boolean faults) {
    /** The time in which calls arrive, in seconds. */
    static final int SECONDS = 40;
    /** When calls that crash their engines begin to arrive, in milliseconds. */
    static final long DEADLY_FROM_MS = 8_000;

    private static final double CALLS_PER_ENTRY = 8;
    private static final double MAX_CALLS_PER_S = 600;
    private static final int MIN_ENGINES = 12;

    double callsPerSecond() {
        return Math.min(MAX_CALLS_PER_S, CALLS_PER_ENTRY * entries);
    }

    int engines() {
        return Math.max(MIN_ENGINES, entries);
    }
}

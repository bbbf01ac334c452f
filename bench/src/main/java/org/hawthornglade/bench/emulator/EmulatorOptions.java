package org.hawthornglade.bench.emulator;

/**
 * Holds the parameters of one run.
 *
 * @param seed the seed of all random choices
 * @param entries the number of entries
 * @param seconds how long calls arrive, in seconds
 * @param faults whether entries restart and pause
 */
public record EmulatorOptions(long seed, int entries, int seconds, boolean faults) {
    /** Calls per second for each entry on a small site. */
    private static final double CALLS_PER_ENTRY = 5;
    /** The most calls per second of any site. */
    private static final double MAX_CALLS_PER_S = 300;

    private static final int MIN_ENGINES = 6;
    private static final int MAX_ENGINES = 24;

    double callsPerSecond() {
        return Math.min(MAX_CALLS_PER_S, CALLS_PER_ENTRY * entries);
    }

    int engines() {
        return Math.max(MIN_ENGINES, Math.min(MAX_ENGINES, entries / 2));
    }
}

package org.hawthornglade.bench.emulator;

/**
 * What one run plays.
 *
 * @param seed draws everything
 * @param entries how many entries there are
 * @param seconds how long calls come
 * @param faults whether entries restart and pause
 */
public record EmulatorOptions(long seed, int entries, int seconds, boolean faults) {
    /** Calls a second for each entry on a small site. */
    private static final double CALLS_PER_ENTRY = 5;
    /** No site has more calls a second than this. */
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

package org.hawthornglade.app.load;

import org.HdrHistogram.Histogram;

/**
 * How long requests took, in milliseconds.
 *
 * @param p50Ms half of them took at most this long
 * @param p90Ms 90 in 100
 * @param p99Ms 99 in 100
 * @param p999Ms 999 in 1000
 * @param maxMs the longest
 */
record Latencies(double p50Ms, double p90Ms, double p99Ms, double p999Ms, double maxMs) {
    private static final double MICROS_PER_MS = 1_000.0;

    static Latencies of(Histogram micros) {
        return new Latencies(
                at(micros, 50), at(micros, 90), at(micros, 99), at(micros, 99.9), micros.getMaxValue() / MICROS_PER_MS);
    }

    private static double at(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MS;
    }
}

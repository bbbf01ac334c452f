package org.hawthornglade.app.load;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of latencies, in milliseconds.
 *
 * @param p50Ms median
 * @param p90Ms 90th percentile
 * @param p99Ms 99th percentile
 * @param p999Ms 99.9th percentile
 * @param maxMs maximum
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

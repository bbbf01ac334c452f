package org.hawthornglade.bench.experiment;

import java.nio.file.Path;
import java.util.List;

/**
 * Holds the options of an experiment.
 *
 * @param kind the comparison to run
 * @param deployment {@code lagi-hangat}, {@code caleche-ndar} or {@code both}
 * @param firstSeed the first seed
 * @param seeds the number of seeds
 * @param keepAliveMinutes the baseline's keep-alive in minutes; 0 to find the best one on these seeds first
 * @param threads the number of concurrent runs
 * @param outputDirectory the directory for JSON and plots; null to write none
 * @param only the names of the variants that {@link Kind#ROUNDS} runs; empty for all
 */
public record ExperimentOptions(
        Kind kind,
        String deployment,
        long firstSeed,
        int seeds,
        int keepAliveMinutes,
        int threads,
        Path outputDirectory,
        List<String> only) {
    /** Copies the list of names. */
    public ExperimentOptions {
        only = List.copyOf(only);
    }
    /** The kinds of comparison. */
    public enum Kind {
        /** The baselines with all keep-alive values, the chosen policies and the bounds. */
        COMPARE,
        /** The chosen policies with one replaced at a time. */
        ROUNDS,
        /** Baseline and chosen policies under each fault. */
        FAULTS,
        /** Baseline and chosen policies under growing load. */
        OVERLOAD
    }
}

package org.hawthornglade.bench.experiment;

import java.nio.file.Path;
import java.util.List;

/**
 * What an experiment runs.
 *
 * @param kind which comparison
 * @param deployment {@code lagi-hangat}, {@code caleche-ndar} or {@code both}
 * @param firstSeed the first seed
 * @param seeds how many seeds
 * @param keepAliveMinutes the baseline's keep-alive in minutes; 0 to search the best one on these seeds first
 * @param threads how many runs go on at once
 * @param outputDirectory where JSON and plots go; null for none
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
    /** Copies the list. */
    public ExperimentOptions {
        only = List.copyOf(only);
    }
    /** The comparisons. */
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

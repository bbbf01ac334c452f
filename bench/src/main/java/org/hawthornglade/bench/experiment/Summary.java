package org.hawthornglade.bench.experiment;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The runs of one set of policies under one fault, over all seeds.
 *
 * @param label the name in tables
 * @param fault the fault
 * @param runs one result per seed
 */
record Summary(String label, Fault fault, List<RunResult> runs) {
    double median(ToDoubleFunction<RunResult> measure) {
        return Statistics.median(runs, measure);
    }

    double spread(ToDoubleFunction<RunResult> measure) {
        return Statistics.spread(runs, measure);
    }
}

package org.hawthornglade.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.ModelName;

/**
 * Computes the best result of a policy that knows the trace and loads only on requests.
 *
 * <p>For each idle gap it keeps the model or loads it again afterwards, whichever is cheaper at the operators' price;
 * loads take their full-speed time from the nearest cached weights of any server. Memory and the shared speed of the
 * store do not limit it, so no policy that loads on requests can be better at that price. A policy that also loads
 * ahead of known requests would cause no wait at all.
 */
final class OracleBound {
    private static final double HOUR_MS = 3_600_000;
    private static final double SECOND_MS = 1_000;

    private final Trace trace;
    private final double coldSecondsPerIdleHour;
    private final List<Gap> gaps = new ArrayList<>();

    private OracleBound(Trace trace, double coldSecondsPerIdleHour) {
        this.trace = trace;
        this.coldSecondsPerIdleHour = coldSecondsPerIdleHour;
    }

    /** Returns the bound at the operators' price. */
    static RunResult atPrice(Trace trace, double coldSecondsPerIdleHour) {
        OracleBound bound = new OracleBound(trace, coldSecondsPerIdleHour);
        bound.collect();
        return bound.result("oracle-at-price", gap -> bound.keepCost(gap) <= bound.coldCost(gap));
    }

    /** Returns the lowest p99 wait that the given idle hours allow. */
    static RunResult atIdleHours(Trace trace, double idleHours) {
        OracleBound bound = new OracleBound(trace, 0);
        bound.collect();
        List<Long> thresholds =
                bound.gaps.stream().map(Gap::loadMs).distinct().sorted().toList();
        for (long thresholdMs : thresholds) {
            RunResult result = bound.result("oracle-at-idle-hours", gap -> gap.loadMs > thresholdMs);
            if (result.idleAcceleratorHours() <= idleHours) {
                return result;
            }
        }
        return bound.result("oracle-at-idle-hours", gap -> false);
    }

    /** Returns the fewest idle hours that keep the p99 wait at or below a limit. */
    static RunResult atColdP99(Trace trace, double coldP99Ms) {
        OracleBound bound = new OracleBound(trace, 0);
        bound.collect();
        return bound.result(
                "oracle-at-p99", gap -> gap.loadMs > coldP99Ms || bound.keepMs(gap) <= bound.reloadHeldMs(gap));
    }

    private void collect() {
        Map<ModelName, ModelProfile> models = new HashMap<>();
        trace.models().forEach(model -> models.put(model.name(), model));
        Map<ModelName, Long> busyUntilMs = new HashMap<>();
        for (TraceRequest request : trace.requests()) {
            ModelName model = request.request().model();
            long untilMs = busyUntilMs.getOrDefault(model, -1L);
            if (untilMs >= 0 && request.arrivedAtMs() > untilMs && request.arrivedAtMs() >= trace.measureFromMs()) {
                long fromMs = Math.max(untilMs, trace.measureFromMs());
                ModelProfile profile = models.get(model);
                gaps.add(new Gap(
                        request.arrivedAtMs() - fromMs,
                        bestLoadMs(profile),
                        profile.spec().accelerators()));
            }
            busyUntilMs.merge(model, request.arrivedAtMs() + request.serviceMs(), Math::max);
        }
    }

    private static long bestLoadMs(ModelProfile model) {
        CheckpointTier nearest =
                model.tiers().stream().min(Comparator.naturalOrder()).orElse(CheckpointTier.REMOTE);
        return VirtualRun.loadMs(model.spec().memoryMb(), nearest);
    }

    private double keepMs(Gap gap) {
        return (double) gap.lengthMs * gap.accelerators;
    }

    private double reloadHeldMs(Gap gap) {
        return (double) gap.loadMs * gap.accelerators;
    }

    private double keepCost(Gap gap) {
        return keepMs(gap) / HOUR_MS * coldSecondsPerIdleHour;
    }

    private double coldCost(Gap gap) {
        return gap.loadMs / SECOND_MS + reloadHeldMs(gap) / HOUR_MS * coldSecondsPerIdleHour;
    }

    private RunResult result(String name, java.util.function.Predicate<Gap> keep) {
        double idleMs = 0;
        List<Double> waits = new ArrayList<>();
        for (Gap gap : gaps) {
            if (keep.test(gap)) {
                idleMs += keepMs(gap);
            } else {
                idleMs += reloadHeldMs(gap);
                waits.add((double) gap.loadMs);
            }
        }
        double[] sorted = waits.stream().mapToDouble(wait -> wait).sorted().toArray();
        double sum = waits.stream().mapToDouble(wait -> wait).sum();
        return new RunResult(
                name,
                trace.deployment().name(),
                trace.seed(),
                Fault.NONE,
                trace.requests().size(),
                sorted.length,
                Statistics.quantile(sorted, 0.5),
                Statistics.quantile(sorted, 0.99),
                Statistics.quantile(sorted, 1),
                sum,
                1,
                idleMs / HOUR_MS,
                0,
                0,
                0,
                0,
                0,
                1,
                1,
                0);
    }

    /** An idle gap of a model, and the time to load the model again afterwards. */
    private record Gap(long lengthMs, long loadMs, int accelerators) {}
}

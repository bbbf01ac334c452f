package org.hawthornglade.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.config.IdleSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.idle.HistogramIdlePolicy;
import org.hawthornglade.core.idle.IdlePlan;
import org.hawthornglade.core.idle.IdlePrice;
import org.hawthornglade.core.idle.ReplicaCost;
import org.hawthornglade.core.load.LoadCandidate;
import org.hawthornglade.core.load.LoadOrder;
import org.hawthornglade.core.load.SmithLoadOrder;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time of an agent's load order and idle plan. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class LoadDecisionBenchmark {
    private static final int MAX_GAP_MS = 3_600_000;

    /** The number of models in demand at once. */
    @Param({"12", "120", "1200"})
    public int models;

    private final SplittableRandom random = new SplittableRandom(1);
    private final List<LoadCandidate> candidates = new ArrayList<>();
    private final List<ModelName> names = new ArrayList<>();
    private final LoadOrder order = new SmithLoadOrder(60_000);
    private final HistogramIdlePolicy idle = new HistogramIdlePolicy(IdlePrice.convex(new IdleSpec(10), 2), true);
    private final ReplicaCost cost = new ReplicaCost(1, 40_000);
    private long nowMs;

    /** Creates the candidates. */
    @Setup
    public void setUp() {
        for (int i = 0; i < models; i++) {
            ModelName name = ModelName.of("model-" + i);
            names.add(name);
            candidates.add(new LoadCandidate(
                    name,
                    null,
                    1 + random.nextInt(100),
                    1 + random.nextInt(60_000),
                    random.nextDouble(),
                    1,
                    0,
                    Long.MAX_VALUE));
        }
    }

    /** Orders all candidates. */
    @Benchmark
    public List<LoadCandidate> loadOrder() {
        return order.order(candidates, models * 20, ++nowMs);
    }

    /** Records an idle gap and plans for it; the plan is recomputed only every few gaps. */
    @Benchmark
    public IdlePlan idlePlan() {
        ModelName model = names.get(random.nextInt(names.size()));
        nowMs += random.nextInt(MAX_GAP_MS);
        idle.onRequest(model, nowMs);
        return idle.plan(model, nowMs, cost);
    }
}

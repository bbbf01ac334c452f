package org.hawthornglade.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.routing.AffinityChooser;
import org.hawthornglade.core.routing.EndpointChooser;
import org.hawthornglade.core.routing.EndpointView;
import org.hawthornglade.core.routing.RouteQuery;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time to choose among the endpoints that have a model. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBenchmark {
    private static final int SLOTS = 8;
    private static final int DOMAINS = 4;

    /** The number of endpoints that have the model. */
    @Param({"12", "120", "1200"})
    public int endpoints;

    private final EndpointChooser chooser = new AffinityChooser(0.25);
    private final SplittableRandom random = new SplittableRandom(1);
    private final List<EndpointView> candidates = new ArrayList<>();
    private long prefix;

    /** Creates the candidates. */
    @Setup
    public void setUp() {
        for (int i = 0; i < endpoints; i++) {
            int running = random.nextInt(SLOTS);
            candidates.add(new EndpointView(
                    InstanceId.of("instance-" + i),
                    FailureDomain.of("domain-" + i % DOMAINS),
                    running / 2,
                    running / 2,
                    running,
                    SLOTS,
                    i % 3 == 0));
        }
    }

    /** Chooses by prompt prefix, then by the power of two choices. */
    @Benchmark
    public Optional<EndpointView> choose() {
        return chooser.choose(new RouteQuery(candidates.get(0).domain(), null, ++prefix), candidates, random);
    }
}

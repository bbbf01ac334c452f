package org.hawthornglade.bench.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.Dispatcher;
import org.hawthornglade.core.dispatch.FirstTokenSelector;
import org.hawthornglade.core.dispatch.LeastLoadedSelector;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.dispatch.SlotSupply;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.overload.ServiceTime;
import org.hawthornglade.core.overload.StartPrediction;
import org.hawthornglade.core.overload.Urgency;
import org.hawthornglade.core.overload.WaitingQueues;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.core.serving.WeightedService;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time to decide on a call while all servers are full and many calls wait. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class WaitingCallBenchmark {
    private static final ServiceName SERVICE = ServiceName.of("licences");
    private static final FailureDomain DOMAIN = FailureDomain.of("domain-0");
    private static final int MODELS = 180;
    private static final int MODELS_PER_SERVER = 3;
    private static final int SLOTS = 64;
    private static final long NOW_MS = 1_000_000;
    private static final long DEADLINE_MS = 15_000;
    private static final double STARTS_PER_MS = 0.5;
    private static final ServiceTime TIME = new ServiceTime(100, 1_200, 10);

    /** The number of waiting calls. */
    @Param({"400", "4000"})
    public int waiting;

    /** The number of servers. */
    @Param({"120"})
    public int servers;

    private record Waiting(CallView view, Urgency urgency) {}

    private final Fleet fleet = new Fleet();
    private final WaitingQueues<Waiting> queues = new WaitingQueues<>();
    private Dispatcher dispatcher;
    private long number;

    /** Fills the servers and the queues. */
    @Setup
    public void setUp() {
        EngineDefinition engine = new EngineDefinition(SLOTS, 234_408, 220_000, 8, 11, Map.of());
        dispatcher = new Dispatcher(
                fleet, new LeastLoadedSelector(DOMAIN), new FirstTokenSelector(DOMAIN, service -> engine));
        List<InstanceRecord> records = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            records.add(server(i));
        }
        fleet.onSnapshot(records, NOW_MS);
        for (Endpoint endpoint : fleet.usable(SERVICE)) {
            endpoint.load().updateOthers(SLOTS, NOW_MS);
        }
        for (int i = 0; i < waiting; i++) {
            add(next());
        }
    }

    private static InstanceRecord server(int index) {
        Map<ModelName, Set<AdapterName>> models = new HashMap<>();
        for (int i = 0; i < MODELS_PER_SERVER; i++) {
            models.put(model(index * MODELS_PER_SERVER + i), Set.of());
        }
        return new InstanceRecord(
                InstanceId.of("server-" + index),
                SERVICE,
                SoftwareVersion.of("v1"),
                new InstanceAddress("127.0.0.1", 1 + index),
                DOMAIN,
                SLOTS,
                false,
                OptionalLong.empty(),
                1,
                1,
                models,
                Set.of(),
                Set.of());
    }

    private static ModelName model(int number) {
        return ModelName.of("model-" + number % MODELS);
    }

    private Waiting next() {
        long id = number++;
        int priority = (int) (id % 3);
        Route route = new Route(
                "route-" + priority,
                "h.example",
                "/",
                CallKind.STREAM,
                DEADLINE_MS,
                407 + 2_000L * priority,
                500,
                DEADLINE_MS,
                2,
                priority,
                true,
                List.of(new WeightedService(SERVICE, 1)));
        ModelDemand demand = new ModelDemand(model((int) (id % MODELS)), Optional.empty(), 1_000, 200, List.of());
        // Arrival times are not in order, so that each insertion searches for its place.
        long arrivedAtMs = NOW_MS - id * 7_919 % 3_000;
        CallView view = new CallView(SERVICE, route, Optional.of(demand), arrivedAtMs, arrivedAtMs + DEADLINE_MS);
        Urgency urgency =
                Urgency.of(priority, arrivedAtMs + route.targetMs(), view.abandonAtMs(), TIME.firstMs(), 0, id);
        queues.onArrived(SERVICE, priority, NOW_MS);
        return new Waiting(view, urgency);
    }

    private static Optional<ModelName> model(CallView view) {
        return view.demand().map(ModelDemand::model);
    }

    private void add(Waiting call) {
        queues.add(SERVICE, model(call.view()), call.urgency(), call, NOW_MS);
    }

    /** Decides on a new call, predicts its start, and lets it wait and leave again. */
    @Benchmark
    public Optional<StartPrediction> decideNewCall() {
        Waiting call = next();
        Decision decision = dispatcher.decide(call.view(), NOW_MS);
        if (!(decision instanceof Decision.Wait wait) || !wait.forRoom()) {
            throw new IllegalStateException("not full: " + decision);
        }
        int ahead = queues.ahead(SERVICE, model(call.view()), call.urgency(), NOW_MS);
        SlotSupply supply = SlotSupply.of(call.view(), fleet.usable(SERVICE), NOW_MS);
        StartPrediction prediction = StartPrediction.of(ahead, supply, 27, TIME, NOW_MS);
        add(call);
        queues.remove(call);
        return Optional.of(prediction);
    }

    /** Orders the calls that an ended call at one server concerns. */
    @Benchmark
    public List<Waiting> orderAtOneServer() {
        int server = (int) (number++ % servers);
        Set<ModelName> models = Set.of(
                model(server * MODELS_PER_SERVER),
                model(server * MODELS_PER_SERVER + 1),
                model(server * MODELS_PER_SERVER + 2));
        return queues.order(SERVICE, model -> model.filter(models::contains).isPresent(), STARTS_PER_MS, NOW_MS);
    }
}

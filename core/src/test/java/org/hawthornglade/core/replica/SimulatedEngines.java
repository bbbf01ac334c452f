package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Simulates engines with three places, twelve copies on disk and two in memory, their callers and a planner, on a clock
 * in steps.
 */
final class SimulatedEngines {
    static final long STEP_MS = 50;
    private static final int ON_DISK = 12;
    private static final int IN_MEMORY = 2;
    private static final long REMOTE_MS = 10_200;
    private static final long DISK_MS = 800;
    private static final long MEMORY_MS = 390;
    private static final long RUN_MS = 300;

    /** The calls for a model: their rate, latency target and deadline. */
    record Calls(double perS, long targetMs, long deadlineMs) {}

    private record Call(String model, long arrivedAtMs, Calls kind) {}

    private static final class Engine {
        private final EngineReplicaTracker tracker;
        private final List<String> disk = new ArrayList<>();
        private final Map<String, Long> lastRunAtMs = new HashMap<>();
        private boolean leaving;
        private long sequence = 1;

        private Engine(InstanceRecord record) {
            tracker = new EngineReplicaTracker(record);
        }

        private String id() {
            return tracker.id().value();
        }
    }

    private final Map<String, Engine> engines = new TreeMap<>();
    private final Map<String, Long> localEndsAtMs = new HashMap<>();
    private final Set<String> inStore = new java.util.HashSet<>();
    private final Map<String, Calls> kinds = new TreeMap<>();
    private final Map<String, ArrivalCounter> counters = new HashMap<>();
    private final List<Call> waiting = new ArrayList<>();
    private final Random arrivals;
    private final EntryDemandAggregator demand = new EntryDemandAggregator();
    private final SimulatedWeightStore store;
    private final ReplicaPlanner planner;
    private long nowMs = 10_000;
    private int served;
    private int late;
    private int lost;
    private int storeLoads;

    SimulatedEngines(int models, int atFullSpeed, boolean plansDiskCopies, long seed) {
        Map<ModelName, ModelDefinition> definitions = new LinkedHashMap<>();
        for (int i = 0; i < models; i++) {
            ModelName name = ModelName.of(model(i));
            definitions.put(name, new ModelDefinition(name, 70_000, REMOTE_MS, MEMORY_MS, DISK_MS, 50));
        }
        EngineDefinition engine = new EngineDefinition(64, 200_000, 220_000, 8, 11, definitions);
        planner = new ReplicaPlanner(engine, demand, new LoadPacer(), RemoteLoadListener.NONE, plansDiskCopies);
        store = new SimulatedWeightStore(SimulatedWeightStore.OverloadBehaviour.SHARED_RATE, atFullSpeed);
        arrivals = new Random(seed);
    }

    static String model(int number) {
        return "m%03d".formatted(number);
    }

    /** Adds an engine whose loaded models are also on its disk. */
    void add(String id, String domain, List<String> models) {
        Engine engine =
                new Engine(Records.record(id, FailureDomain.of(domain), false, 1, 1, models, List.of(), models));
        engine.disk.addAll(models);
        engines.put(id, engine);
        report(engine);
    }

    /** Takes an engine with its disk off the list. */
    void remove(String id) {
        engines.remove(id);
        inStore.removeIf(key -> key.startsWith(id + " "));
    }

    /** Lets an engine announce that it is leaving. */
    void leave(String id) {
        engines.get(id).leaving = true;
    }

    /** Sets the calls for a model from now on. */
    void calls(String model, Calls kind) {
        kinds.put(model, kind);
    }

    int late() {
        return late;
    }

    int lost() {
        return lost;
    }

    int served() {
        return served;
    }

    int storeLoads() {
        return storeLoads;
    }

    /** Returns how many models no engine that stays has on its disk. */
    int onNoDisk() {
        Set<String> copies = new java.util.HashSet<>();
        engines.values().stream().filter(engine -> !engine.leaving).forEach(engine -> copies.addAll(engine.disk));
        return (int)
                kinds.keySet().stream().filter(model -> !copies.contains(model)).count();
    }

    /** Forgets the calls that were counted so far. */
    void resetCounts() {
        served = 0;
        late = 0;
        lost = 0;
        storeLoads = 0;
    }

    void run(long durationMs) {
        long endMs = nowMs + durationMs;
        while (nowMs < endMs) {
            arrive();
            serve();
            reportDemand();
            order();
            nowMs += STEP_MS;
            List<String> loaded = store.advance(STEP_MS);
            engines.values().forEach(engine -> endOrders(engine, loaded));
        }
    }

    private void arrive() {
        kinds.forEach((model, kind) -> {
            if (arrivals.nextDouble() < kind.perS() * STEP_MS / 1_000.0) {
                counters.computeIfAbsent(model, name -> new ArrivalCounter()).onCall(kind.targetMs(), 100, nowMs);
                waiting.add(new Call(model, nowMs, kind));
            }
        });
    }

    private void serve() {
        waiting.removeIf(call -> {
            long waitedMs = nowMs - call.arrivedAtMs();
            if (waitedMs > call.kind().deadlineMs()) {
                lost++;
                return true;
            }
            Optional<Engine> ready = engines.values().stream()
                    .filter(engine -> engine.tracker.serves(ModelName.of(call.model())))
                    .findFirst();
            ready.ifPresent(engine -> {
                engine.lastRunAtMs.put(call.model(), nowMs);
                served++;
                late += waitedMs > call.kind().targetMs() ? 1 : 0;
            });
            return ready.isPresent();
        });
    }

    private void reportDemand() {
        Map<Variant, VariantDemand> waits = new LinkedHashMap<>();
        for (Call call : waiting) {
            Variant variant = new Variant(ModelName.of(call.model()), Optional.empty());
            long slackMs = call.arrivedAtMs() + call.kind().targetMs() - nowMs;
            waits.merge(variant, new VariantDemand(variant, 1, 0, slackMs), VariantDemand::plus);
        }
        Map<ModelName, ModelArrivals> rates = new HashMap<>();
        counters.forEach((model, counter) -> rates.put(ModelName.of(model), counter.arrivals(nowMs)));
        Map<InstanceId, Map<Variant, Integer>> running = new HashMap<>();
        for (Engine engine : engines.values()) {
            Map<Variant, Integer> calls = new HashMap<>();
            engine.lastRunAtMs.forEach((model, atMs) -> {
                if (nowMs - atMs < RUN_MS) {
                    calls.put(new Variant(ModelName.of(model), Optional.empty()), 1);
                }
            });
            running.put(engine.tracker.id(), calls);
        }
        demand.onDemand(
                "entry", new EntryDemand(List.copyOf(waits.values()), rates, running, Set.of(), Map.of()), nowMs);
    }

    private void order() {
        List<EngineReplicaTracker> trackers = new ArrayList<>();
        engines.values().forEach(engine -> trackers.add(engine.tracker));
        for (ReplicaOrder order : planner.plan(trackers, nowMs)) {
            Engine engine = engines.get(order.instance().value());
            OrderDuration duration = planner.expectedDuration(engine.tracker, order, trackers, nowMs);
            boolean local = engine.tracker.hasLocalWeights(order.model());
            long localMs = duration.nominalMs();
            engine.tracker.onOrderSent(order, nowMs);
            engine.tracker.onOrderAnswered(order, OrderOutcome.ACCEPTED, duration, nowMs);
            if (order.action() == OrderAction.UNLOAD) {
                continue;
            }
            String key = engine.id() + " " + order.model();
            if (local) {
                localEndsAtMs.put(key, nowMs + localMs);
            } else {
                store.start(key, REMOTE_MS);
                inStore.add(key);
                storeLoads++;
            }
        }
    }

    private void endOrders(Engine engine, List<String> loaded) {
        for (ModelName model : List.copyOf(engine.tracker.models().keySet())) {
            String key = engine.id() + " " + model;
            boolean ended = loaded.contains(key) || localEndsAtMs.getOrDefault(key, Long.MAX_VALUE) <= nowMs;
            if (ended) {
                localEndsAtMs.remove(key);
                inStore.remove(key);
                engine.disk.remove(model.value());
                engine.disk.add(model.value());
            }
            if (engine.disk.size() > ON_DISK) {
                engine.disk.remove(0);
            }
        }
        report(engine);
    }

    private void report(Engine engine) {
        List<String> held = new ArrayList<>();
        engine.tracker.models().forEach((model, resident) -> {
            String key = engine.id() + " " + model;
            boolean loading = localEndsAtMs.containsKey(key) || inStore.contains(key);
            if (resident.status() != ReplicaStatus.UNLOADING && !loading) {
                held.add(model.value());
            }
        });
        List<String> memory = engine.disk.subList(Math.max(0, engine.disk.size() - IN_MEMORY), engine.disk.size());
        InstanceRecord record = Records.record(
                engine.id(),
                engine.tracker.listed().failureDomain(),
                engine.leaving,
                1,
                ++engine.sequence,
                held,
                memory,
                List.copyOf(engine.disk));
        engine.tracker.onListed(record, nowMs);
        if (engine.tracker.needsReport(nowMs)) {
            boolean busy = held.size() < engine.tracker.models().size();
            engine.tracker.onReport(
                    new EngineReport(
                            engine.tracker.version(), busy, record.models(), record.inMemory(), record.onDisk()),
                    nowMs);
        }
    }
}

package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Provides engines that carry out the orders of the planner, on a clock that the test advances. */
final class ReplicaFixture {
    static final long REMOTE_MS = 6_000;
    static final long DISK_MS = 800;
    static final double MODEL_MB = 70_000;

    final List<EngineReplicaTracker> trackers = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final EntryDemandAggregator demand = new EntryDemandAggregator();
    final EngineDefinition engine;
    final LoadPacer pacer;
    final ReplicaPlanner planner;
    long nowMs = 10_000;
    /** Whether the engines list the copies that loads leave on their disks. */
    boolean reportsCopies = true;

    /** Creates an engine definition with memory for two models an engine; engines are added by {@link #engine}. */
    ReplicaFixture(int models, double remoteLoadsPerS) {
        this(remoteLoadsPerS, Collections.nCopies(models, MODEL_MB));
    }

    /** Creates an engine definition with models of given sizes; an engine has memory for two models of 70 GB. */
    ReplicaFixture(double remoteLoadsPerS, List<Double> modelMb) {
        Map<ModelName, ModelDefinition> definitions = new LinkedHashMap<>();
        for (int i = 0; i < modelMb.size(); i++) {
            ModelName name = ModelName.of("m" + i);
            definitions.put(name, new ModelDefinition(name, modelMb.get(i), REMOTE_MS, DISK_MS, DISK_MS, 50));
        }
        engine = new EngineDefinition(64, 200_000, 142_000, 4, remoteLoadsPerS, definitions);
        pacer = new LoadPacer();
        planner = new ReplicaPlanner(engine, demand, pacer, RemoteLoadListener.NONE);
    }

    ReplicaFixture engine(String id, List<String> models, List<String> onDisk) {
        return engine(id, Records.DOMAIN, models, onDisk);
    }

    /** Adds an engine in a given failure domain. */
    ReplicaFixture engine(String id, FailureDomain domain, List<String> models, List<String> onDisk) {
        EngineReplicaTracker tracker =
                new EngineReplicaTracker(Records.record(id, domain, false, 1, 1, models, List.of(), onDisk));
        tracker.onReport(report(tracker, 0), nowMs);
        trackers.add(tracker);
        return this;
    }

    private static EngineReport report(EngineReplicaTracker tracker, long sequence) {
        return new EngineReport(
                new InstanceVersion(1, sequence),
                false,
                tracker.listed().models(),
                Set.of(),
                tracker.listed().onDisk());
    }

    /** Lets the engines report whose state is not known. */
    void reportWhereNeeded() {
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker.needsReport(nowMs)) {
                tracker.onReport(report(tracker, tracker.version().orderSequence()), nowMs);
            }
        }
    }

    /** Lists an engine as leaving. */
    void markLeaving(String id) {
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker.id().value().equals(id)) {
                tracker.onListed(Records.leaving(id, List.of()), nowMs);
            }
        }
    }

    /** Reports calls that wait at one entry. */
    void waiting(long slackMs, String... variants) {
        waiting("waiting", slackMs, variants);
    }

    /** Reports calls that wait at a named entry. */
    void waiting(String entry, long slackMs, String... variants) {
        waiting(entry, 0, slackMs, variants);
    }

    /** Reports calls that an entry has refused and that are expected to be made again. */
    void expected(String entry, long slackMs, String... variants) {
        waiting(entry, 1, slackMs, variants);
    }

    private void waiting(String entry, int expectedCalls, long slackMs, String... variants) {
        List<VariantDemand> waiting = new ArrayList<>();
        for (String variant : variants) {
            waiting.add(new VariantDemand(variant(variant), 1, expectedCalls, slackMs));
        }
        demand.onDemand(entry, new EntryDemand(waiting, Map.of(), Map.of(), Set.of(), Map.of()), nowMs);
    }

    /** Reports calls that run at an engine. */
    void running(String engine, String... variants) {
        Map<Variant, Integer> calls = new HashMap<>();
        for (String variant : variants) {
            calls.merge(variant(variant), 1, Integer::sum);
        }
        Map<InstanceId, Map<Variant, Integer>> running = Map.of(InstanceId.of(engine), calls);
        demand.onDemand("running-" + engine, new EntryDemand(List.of(), Map.of(), running, Set.of(), Map.of()), nowMs);
    }

    /** Reports arrivals of calls for a model, with their latency target. */
    void arrived(String model, long calls, long targetMs) {
        arrived(model, calls, targetMs, 100);
    }

    /** Reports arrivals of calls for a model, with their latency target and prompt length. */
    void arrived(String model, long calls, long targetMs, int promptTokens) {
        ArrivalCounter counter = new ArrivalCounter();
        for (int i = 0; i < calls; i++) {
            counter.onCall(targetMs, promptTokens, nowMs);
        }
        Map<ModelName, ModelArrivals> arrivals = Map.of(ModelName.of(model), counter.arrivals(nowMs));
        demand.onDemand("arrived-" + model, new EntryDemand(List.of(), arrivals, Map.of(), Set.of(), Map.of()), nowMs);
    }

    static Variant variant(String text) {
        String[] parts = text.split("/", 2);
        Optional<AdapterName> adapter = parts.length > 1 ? Optional.of(AdapterName.of(parts[1])) : Optional.empty();
        return new Variant(ModelName.of(parts[0]), adapter);
    }

    /** Plans once and records the orders as sent. */
    List<String> plan() {
        List<String> planned = new ArrayList<>();
        for (ReplicaOrder order : planner.plan(trackers, nowMs)) {
            String adapter = order.adapter().map(name -> "/" + name).orElse("");
            planned.add(order.instance() + " " + order.action() + " " + order.model() + adapter);
            durations.put(order, planner.expectedDuration(tracker(order), order, trackers, nowMs));
            tracker(order).onOrderSent(order, nowMs);
            openOrders.add(order);
        }
        orders.addAll(planned);
        return planned;
    }

    private final List<ReplicaOrder> openOrders = new ArrayList<>();
    private final Map<ReplicaOrder, OrderDuration> durations = new HashMap<>();

    private EngineReplicaTracker tracker(ReplicaOrder order) {
        return trackers.stream()
                .filter(tracker -> tracker.id().equals(order.instance()))
                .findFirst()
                .orElseThrow();
    }

    /** Answers all open orders with one outcome. */
    void answer(OrderOutcome outcome) {
        for (ReplicaOrder order : List.copyOf(openOrders)) {
            EngineReplicaTracker tracker = tracker(order);
            tracker.onOrderAnswered(order, outcome, durations.get(order), nowMs);
        }
        openOrders.clear();
    }

    /** Lets every engine finish its orders and lists the models that its tracker then expects. */
    void settle(long afterMs) {
        nowMs += afterMs;
        for (EngineReplicaTracker tracker : trackers) {
            List<String> held = new ArrayList<>();
            for (Map.Entry<ModelName, ResidentModel> entry : tracker.models().entrySet()) {
                if (entry.getValue().status() != org.hawthornglade.core.fleet.ReplicaStatus.UNLOADING) {
                    held.add(entry.getKey().value());
                }
            }
            Set<String> disk = new TreeSet<>(reportsCopies ? held : List.of());
            tracker.listed().onDisk().forEach(model -> disk.add(model.value()));
            tracker.onListed(
                    Records.record(
                            tracker.id().value(),
                            tracker.listed().failureDomain(),
                            false,
                            1,
                            nowMs,
                            held,
                            List.of(),
                            List.copyOf(disk)),
                    nowMs);
        }
    }
}

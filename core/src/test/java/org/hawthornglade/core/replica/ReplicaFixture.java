package org.hawthornglade.core.replica;

import java.util.ArrayList;
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
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Engines that carry out what the planner orders, on a clock of the test. */
final class ReplicaFixture {
    static final long REMOTE_MS = 6_000;
    static final long DISK_MS = 800;

    final List<EngineReplicaTracker> books = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final DemandTracker demand = new DemandTracker();
    final EngineDefinition engine;
    final LoadPacer pacer;
    final ReplicaPlanner planner;
    long nowMs = 10_000;

    /** Creates engines that hold two models each. */
    ReplicaFixture(int models, double remoteLoadsPerS) {
        Map<ModelName, ModelDefinition> definitions = new LinkedHashMap<>();
        for (int i = 0; i < models; i++) {
            ModelName name = ModelName.of("m" + i);
            definitions.put(name, new ModelDefinition(name, 70_000, REMOTE_MS, DISK_MS, DISK_MS, 50));
        }
        engine = new EngineDefinition(64, 200_000, 142_000, 4, remoteLoadsPerS, definitions);
        pacer = new LoadPacer();
        planner = new ReplicaPlanner(engine, demand, pacer, RemoteLoadListener.NONE);
    }

    ReplicaFixture engine(String id, List<String> models, List<String> onDisk) {
        EngineReplicaTracker book = new EngineReplicaTracker(Records.ready(id, models, onDisk));
        book.onReport(report(book, 0), nowMs);
        books.add(book);
        return this;
    }

    private static EngineReport report(EngineReplicaTracker book, long sequence) {
        return new EngineReport(
                new InstanceVersion(1, sequence),
                false,
                book.listed().models(),
                Set.of(),
                book.listed().onDisk());
    }

    /** Lets an engine announce that it leaves. */
    void markLeaving(String id) {
        for (EngineReplicaTracker book : books) {
            if (book.id().value().equals(id)) {
                book.onListed(Records.leaving(id, List.of()), nowMs);
            }
        }
    }

    /** Lets calls of one entry wait. */
    void waiting(long slackMs, String... variants) {
        waiting("waiting", slackMs, variants);
    }

    /** Lets calls of a named entry wait. */
    void waiting(String entry, long slackMs, String... variants) {
        List<VariantDemand> waiting = new ArrayList<>();
        for (String variant : variants) {
            waiting.add(new VariantDemand(variant(variant), 1, slackMs));
        }
        demand.onDemand(entry, new EntryDemand(waiting, Map.of(), Map.of(), Set.of(), Map.of()), nowMs);
    }

    /** Lets calls for a model have arrived, with their latency target. */
    void arrived(String model, long calls, long targetMs) {
        arrived(model, calls, targetMs, 100);
    }

    /** Lets calls with prompts of a length have arrived. */
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

    /** Plans once and takes note of the orders as sent. */
    List<String> plan() {
        List<String> planned = new ArrayList<>();
        for (ReplicaOrder order : planner.plan(books, nowMs)) {
            String adapter = order.adapter().map(name -> "/" + name).orElse("");
            planned.add(order.instance() + " " + order.action() + " " + order.model() + adapter);
            times.put(order, planner.expectedDuration(book(order), order, books, nowMs));
            book(order).onOrderSent(order, nowMs);
            open.add(order);
        }
        orders.addAll(planned);
        return planned;
    }

    private final List<ReplicaOrder> open = new ArrayList<>();
    private final Map<ReplicaOrder, OrderDuration> times = new HashMap<>();

    private EngineReplicaTracker book(ReplicaOrder order) {
        return books.stream()
                .filter(book -> book.id().equals(order.instance()))
                .findFirst()
                .orElseThrow();
    }

    /** Answers all open orders with one outcome. */
    void answer(OrderOutcome outcome) {
        for (ReplicaOrder order : List.copyOf(open)) {
            EngineReplicaTracker book = book(order);
            book.onOrderAnswered(order, outcome, times.get(order), nowMs);
        }
        open.clear();
    }

    /** Lets every engine finish and report what its book expects. */
    void settle(long afterMs) {
        nowMs += afterMs;
        for (EngineReplicaTracker book : books) {
            List<String> held = new ArrayList<>();
            for (Map.Entry<ModelName, ResidentModel> entry : book.models().entrySet()) {
                if (entry.getValue().status() != org.hawthornglade.core.fleet.ReplicaStatus.UNLOADING) {
                    held.add(entry.getKey().value());
                }
            }
            Set<String> disk = new TreeSet<>(held);
            book.listed().onDisk().forEach(model -> disk.add(model.value()));
            book.onListed(Records.record(book.id().value(), false, 1, nowMs, held, List.copyOf(disk)), nowMs);
        }
    }
}

package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;

/** Decides on which engine an adapter is loaded and which one makes room for it. */
final class AdapterPlanner {
    /** An adapter that was loaded this short ago is not removed, since its calls are on their way. */
    private static final long MIN_UNUSED_MS = 500;
    /** With fewer adapters of a model waiting, the next place that becomes free is soon enough. */
    private static final int MIN_WAITING_ADAPTERS = 3;

    private final EngineDefinition engine;
    private final DemandTracker demand;

    AdapterPlanner(EngineDefinition engine, DemandTracker demand) {
        this.engine = engine;
        this.demand = demand;
    }

    /** Returns the next order towards an adapter that calls wait for; nothing if it is there or must wait. */
    Optional<ReplicaOrder> nextOrder(Variant wanted, Collection<EngineReplicaTracker> books, Set<EngineReplicaTracker> taken, long nowMs) {
        AdapterName adapter = wanted.adapter().orElseThrow();
        EngineReplicaTracker best = null;
        for (EngineReplicaTracker book : books) {
            if (!book.serves(wanted.model())) {
                continue;
            }
            if (book.models().get(wanted.model()).adapters().containsKey(adapter)) {
                return Optional.empty();
            }
            boolean free = !taken.contains(book) && book.acceptsAdapterOrder();
            if (free && (best == null || isLessLoaded(book, best, nowMs))) {
                best = book;
            }
        }
        return best == null ? Optional.empty() : orderAt(best, wanted, nowMs);
    }

    /** Returns whether calls wait for adapters of a model while the places for adapters are full wherever it is. */
    boolean needsAnotherReplica(ModelName model, List<VariantDemand> waiting, Collection<EngineReplicaTracker> books) {
        int serving = 0;
        for (EngineReplicaTracker book : books) {
            if (!book.serves(model)) {
                continue;
            }
            serving++;
            if (book.adapterCount() < engine.adapterSlots()) {
                return false;
            }
        }
        return serving > 0 && waitingAdapters(model, waiting) >= MIN_WAITING_ADAPTERS;
    }

    private static long waitingAdapters(ModelName model, List<VariantDemand> waiting) {
        return waiting.stream()
                .map(VariantDemand::variant)
                .filter(variant ->
                        variant.model().equals(model) && variant.adapter().isPresent())
                .count();
    }

    private boolean isLessLoaded(EngineReplicaTracker one, EngineReplicaTracker other, long nowMs) {
        int byRunning = Integer.compare(demand.running(one.id(), nowMs), demand.running(other.id(), nowMs));
        return byRunning != 0 ? byRunning < 0 : one.adapterCount() < other.adapterCount();
    }

    private Optional<ReplicaOrder> orderAt(EngineReplicaTracker book, Variant wanted, long nowMs) {
        double adapterMb = engine.models().containsKey(wanted.model())
                ? engine.models().get(wanted.model()).adapterMb()
                : 0;
        boolean slotFree = book.adapterCount() < engine.adapterSlots();
        boolean memoryFree = book.usedMb(engine) + adapterMb <= engine.modelMemoryMb();
        if (slotFree && memoryFree) {
            return Optional.of(
                    new ReplicaOrder(book.id(), OrderAction.LOAD, wanted.model(), wanted.adapter(), book.version()));
        }
        return leastRecentlyUsed(book, nowMs)
                .map(victim -> new ReplicaOrder(
                        book.id(), OrderAction.UNLOAD, victim.model(), victim.adapter(), book.version()));
    }

    private Optional<Variant> leastRecentlyUsed(EngineReplicaTracker book, long nowMs) {
        Variant oldest = null;
        long oldestMs = nowMs - MIN_UNUSED_MS;
        for (Map.Entry<ModelName, ResidentModel> model : book.models().entrySet()) {
            for (AdapterName adapter : model.getValue().adapters().keySet()) {
                Variant variant = new Variant(model.getKey(), Optional.of(adapter));
                if (demand.running(book.id(), variant, nowMs) > 0) {
                    model.getValue().adapterUsed(adapter, nowMs);
                }
                if (model.getValue().adapterUsedAtMs(adapter) < oldestMs) {
                    oldest = variant;
                    oldestMs = model.getValue().adapterUsedAtMs(adapter);
                }
            }
        }
        return Optional.ofNullable(oldest);
    }
}

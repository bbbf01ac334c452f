package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;

/** Chooses the engine on which an adapter is loaded and the adapter that is unloaded to make room for it. */
final class AdapterPlanner {
    /** An adapter that was loaded or used within this time stays, since calls for it may be on their way. */
    private static final long MIN_UNUSED_MS = 500;
    /** With fewer adapters of a model waiting, the next adapter slot that becomes free is soon enough. */
    private static final int MIN_WAITING_ADAPTERS = 3;

    private final EngineDefinition engine;
    private final EntryDemandAggregator demand;

    AdapterPlanner(EngineDefinition engine, EntryDemandAggregator demand) {
        this.engine = engine;
        this.demand = demand;
    }

    /** The next order for an adapter, if there is one, and why there is none otherwise. */
    record Step(AdapterWait state, Optional<ReplicaOrder> order) {
        private static Step none(AdapterWait state) {
            return new Step(state, Optional.empty());
        }
    }

    /**
     * Returns the order in which adapters that calls wait for get their slots.
     *
     * <p>Adapters with calls that could be sent at once go first. Among them, those that have not run calls for the
     * longest time go first, so that each gets its turn when there are more of them than slots.
     *
     * @param waiting the waiting demand, the most urgent first
     */
    List<VariantDemand> inTurn(List<VariantDemand> waiting) {
        List<VariantDemand> forAdapters = new ArrayList<>(waiting);
        forAdapters.removeIf(each -> each.variant().adapter().isEmpty());
        // The sort is stable. False goes before true.
        forAdapters.sort(Comparator.comparing((VariantDemand each) -> !each.hasPresentCalls())
                .thenComparingLong(each -> demand.lastRunAtMs(each.variant())));
        return forAdapters;
    }

    /**
     * Returns the next step for an adapter that calls wait for.
     *
     * <p>For calls that were refused and are only expected to be made again, no other adapter is unloaded: they could
     * not use the slot yet, and would keep it from a call that waits.
     */
    Step nextStep(
            VariantDemand waiting,
            Collection<EngineReplicaTracker> trackers,
            Set<EngineReplicaTracker> occupied,
            long nowMs) {
        Variant wanted = waiting.variant();
        AdapterName adapter = wanted.adapter().orElseThrow();
        boolean served = false;
        List<EngineReplicaTracker> candidates = new ArrayList<>();
        for (EngineReplicaTracker tracker : trackers) {
            if (!tracker.serves(wanted.model())) {
                continue;
            }
            served = true;
            if (tracker.models().get(wanted.model()).adapters().containsKey(adapter)) {
                return Step.none(AdapterWait.LOADED);
            }
            if (!occupied.contains(tracker) && tracker.acceptsAdapterOrder()) {
                candidates.add(tracker);
            }
        }
        if (candidates.isEmpty()) {
            return Step.none(served ? AdapterWait.ENGINES_BUSY : AdapterWait.NO_REPLICA);
        }
        Optional<ReplicaOrder> order = bestOrder(candidates, wanted, nowMs)
                .filter(next -> next.action() == OrderAction.LOAD || waiting.hasPresentCalls());
        return new Step(order.isPresent() ? AdapterWait.ORDERED : AdapterWait.SLOTS_IN_USE, order);
    }

    /** Returns the load into a free slot at the least loaded engine that has one, or else an unload that frees one. */
    private Optional<ReplicaOrder> bestOrder(List<EngineReplicaTracker> candidates, Variant wanted, long nowMs) {
        candidates.sort((one, other) -> compareLoad(one, other, nowMs));
        Optional<ReplicaOrder> unload = Optional.empty();
        for (EngineReplicaTracker tracker : candidates) {
            Optional<ReplicaOrder> order = orderAt(tracker, wanted, nowMs);
            if (order.isPresent() && order.get().action() == OrderAction.LOAD) {
                return order;
            }
            unload = unload.or(() -> order);
        }
        return unload;
    }

    /**
     * Returns whether calls wait for adapters of a model while every engine that serves the model has all its adapter
     * slots taken.
     */
    boolean needsAnotherReplica(
            ModelName model, List<VariantDemand> waiting, Collection<EngineReplicaTracker> trackers) {
        int serving = 0;
        for (EngineReplicaTracker tracker : trackers) {
            if (!tracker.serves(model)) {
                continue;
            }
            serving++;
            if (tracker.adapterCount() < engine.adapterSlots()) {
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

    private int compareLoad(EngineReplicaTracker one, EngineReplicaTracker other, long nowMs) {
        int byRunning = Integer.compare(demand.running(one.id(), nowMs), demand.running(other.id(), nowMs));
        return byRunning != 0 ? byRunning : Integer.compare(one.adapterCount(), other.adapterCount());
    }

    private Optional<ReplicaOrder> orderAt(EngineReplicaTracker tracker, Variant wanted, long nowMs) {
        double adapterMb = engine.models().containsKey(wanted.model())
                ? engine.models().get(wanted.model()).adapterMb()
                : 0;
        boolean slotFree = tracker.adapterCount() < engine.adapterSlots();
        boolean memoryFree = tracker.usedMb(engine) + adapterMb <= engine.modelMemoryMb();
        if (slotFree && memoryFree) {
            return Optional.of(new ReplicaOrder(
                    tracker.id(), OrderAction.LOAD, wanted.model(), wanted.adapter(), tracker.version()));
        }
        return leastRecentlyUsed(tracker, nowMs)
                .map(unused -> new ReplicaOrder(
                        tracker.id(), OrderAction.UNLOAD, unused.model(), unused.adapter(), tracker.version()));
    }

    private Optional<Variant> leastRecentlyUsed(EngineReplicaTracker tracker, long nowMs) {
        Variant leastRecent = null;
        long leastRecentMs = nowMs - MIN_UNUSED_MS;
        for (Map.Entry<ModelName, ResidentModel> model : tracker.models().entrySet()) {
            for (AdapterName adapter : model.getValue().adapters().keySet()) {
                Variant variant = new Variant(model.getKey(), Optional.of(adapter));
                if (demand.running(tracker.id(), variant, nowMs) > 0) {
                    model.getValue().adapterUsed(adapter, nowMs);
                }
                if (model.getValue().adapterUsedAtMs(adapter) < leastRecentMs) {
                    leastRecent = variant;
                    leastRecentMs = model.getValue().adapterUsedAtMs(adapter);
                }
            }
        }
        return Optional.ofNullable(leastRecent);
    }
}

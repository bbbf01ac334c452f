package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Collects the orders of one planning round, at most one for each engine, and the capacity that they take up. */
final class PlanningRound {
    /**
     * The maximum share of the engines that load from the weight store at the same time. Such an engine accepts no
     * other order for many seconds, not even a short load from its own disk.
     */
    private static final double MAX_REMOTE_LOADING_SHARE = 0.4;

    private final EngineDefinition engine;
    private final LoadPacer pacer;
    private final EvictionChooser evictions;
    private final Collection<EngineReplicaTracker> trackers;
    private final long nowMs;
    private final List<ReplicaOrder> orders = new ArrayList<>();
    private final Set<EngineReplicaTracker> occupied = new HashSet<>();
    private final Set<ModelName> orderedLoads = new HashSet<>();
    private final Set<EngineReplicaTracker> remoteLoadsOrderedAt = new HashSet<>();

    PlanningRound(
            EngineDefinition engine,
            LoadPacer pacer,
            EvictionChooser evictions,
            Collection<EngineReplicaTracker> trackers,
            long nowMs) {
        this.engine = engine;
        this.pacer = pacer;
        this.evictions = evictions;
        this.trackers = trackers;
        this.nowMs = nowMs;
    }

    Collection<EngineReplicaTracker> trackers() {
        return trackers;
    }

    long nowMs() {
        return nowMs;
    }

    List<ReplicaOrder> orders() {
        return orders;
    }

    /** Returns the engines that have an order in this round. */
    Set<EngineReplicaTracker> occupied() {
        return occupied;
    }

    /** Returns whether the load of a model was ordered in this round. */
    boolean loadOrdered(ModelName model) {
        return orderedLoads.contains(model);
    }

    /** Returns whether a model is being loaded from the weight store. */
    boolean isLoadingFromStore(ModelName model) {
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker.offers(model, nowMs) && tracker.isLoadingRemotely(model)) {
                return true;
            }
        }
        return false;
    }

    /** Adds an order that needs no further decision. */
    void add(ReplicaOrder order) {
        orders.add(order);
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker.id().equals(order.instance())) {
                occupied.add(tracker);
            }
        }
    }

    /** Orders the load of a model, or the next eviction that makes room for it. */
    void orderLoadOrEviction(EngineReplicaTracker tracker, ModelName model) {
        orderLoadOrEviction(tracker, model, () -> evictions.nextEviction(tracker, trackers, nowMs));
    }

    /**
     * Orders the load of a model, or the next eviction that makes room for it.
     *
     * @param nextEviction chooses the model to evict
     */
    void orderLoadOrEviction(
            EngineReplicaTracker tracker, ModelName model, Supplier<Optional<ModelName>> nextEviction) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null || tracker.holds(model)) {
            tracker.pendingModel(Optional.empty());
            return;
        }
        if (tracker.usedMb(engine) + definition.sizeMb() <= engine.modelMemoryMb()) {
            orderLoad(tracker, definition);
            return;
        }
        boolean startsEvicting = !tracker.pendingModel().equals(Optional.of(model));
        if (startsEvicting && !tracker.hasLocalWeights(model) && !leavesEnoughFreeEngines(tracker)) {
            return;
        }
        Optional<ModelName> evicted = nextEviction.get();
        if (evicted.isEmpty()) {
            tracker.pendingModel(Optional.empty());
            return;
        }
        tracker.pendingModel(Optional.of(model));
        tracker.markUnloading(evicted.get(), nowMs);
        occupied.add(tracker);
        orders.add(
                new ReplicaOrder(tracker.id(), OrderAction.UNLOAD, evicted.get(), Optional.empty(), tracker.version()));
    }

    /**
     * Returns whether enough engines stay free for short loads when a candidate starts a load from the weight store.
     */
    private boolean leavesEnoughFreeEngines(EngineReplicaTracker candidate) {
        if (candidate.hasNoLocalWeights()) {
            return true;
        }
        int withWeights = 0;
        int busy = 0;
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker.hasNoLocalWeights()) {
                continue;
            }
            withWeights++;
            busy += tracker != candidate && countsAsRemoteLoad(tracker) ? 1 : 0;
        }
        return busy < Math.max(1, MAX_REMOTE_LOADING_SHARE * withWeights);
    }

    private boolean countsAsRemoteLoad(EngineReplicaTracker tracker) {
        boolean makesRoom = tracker.pendingModel().isPresent()
                && !tracker.hasLocalWeights(tracker.pendingModel().get());
        return makesRoom || tracker.hasRemoteLoad(nowMs) || remoteLoadsOrderedAt.contains(tracker);
    }

    private void orderLoad(EngineReplicaTracker tracker, ModelDefinition definition) {
        if (!tracker.hasLocalWeights(definition.name())) {
            int itself = tracker.pendingModel().equals(Optional.of(definition.name())) ? 1 : 0;
            if (!pacer.mayStart(engine.remoteLoadsPerSecond(), runningRemoteLoads() - itself, trackers.size(), nowMs)
                    || !leavesEnoughFreeEngines(tracker)) {
                return;
            }
            pacer.onStart(nowMs);
            remoteLoadsOrderedAt.add(tracker);
        }
        orderedLoads.add(definition.name());
        occupied.add(tracker);
        orders.add(new ReplicaOrder(
                tracker.id(), OrderAction.LOAD, definition.name(), Optional.empty(), tracker.version()));
    }

    /** Returns whether one more load from the weight store may start now. */
    boolean mayLoadRemotely() {
        return pacer.mayStart(engine.remoteLoadsPerSecond(), runningRemoteLoads(), trackers.size(), nowMs);
    }

    /** Returns whether one more load that no call waits for may start, with room left for awaited ones. */
    boolean mayPreloadRemotely() {
        return pacer.mayStartPreload(engine.remoteLoadsPerSecond(), runningRemoteLoads(), trackers.size(), nowMs);
    }

    /** Returns how many loads may run at the same time and are known to keep their nominal time then. */
    int loadsAtFullSpeed() {
        return Math.min(pacer.proven(), pacer.concurrencyLimit(trackers.size(), nowMs));
    }

    /** Returns whether a fetch beside other loads uses at most half of the store, or all of one load at full speed. */
    boolean leavesStoreFree(int otherLoads) {
        return 2 * otherLoads < loadsAtFullSpeed();
    }

    /**
     * Counts the loads from the weight store; one that evictions make room for counts, since it starts right after
     * them.
     */
    int runningRemoteLoads() {
        int running = 0;
        for (EngineReplicaTracker tracker : trackers) {
            running += countsAsRemoteLoad(tracker) ? 1 : 0;
        }
        return running;
    }
}

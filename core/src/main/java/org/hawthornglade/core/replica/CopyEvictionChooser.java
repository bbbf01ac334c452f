package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Chooses the models that are evicted for a copy that no call waits for.
 *
 * <p>No model in use is evicted: one that runs calls here, that calls wait for, or whose callers would be late if it
 * had to be loaded on another engine, since this one is occupied by the fetch.
 */
final class CopyEvictionChooser {
    /** A model with fewer calls a second than this, one in 50 s, is not in use. */
    static final double MIN_CALLS_PER_S = 0.02;

    private record Eviction(ModelName model, double costMs) {}

    private final EngineDefinition engine;
    private final EntryDemandAggregator demand;
    private final EvictionChooser evictions;
    private final Map<EngineReplicaTracker, List<Eviction>> cheapestFirst = new HashMap<>();

    CopyEvictionChooser(EngineDefinition engine, EntryDemandAggregator demand, EvictionChooser evictions) {
        this.engine = engine;
        this.demand = demand;
        this.evictions = evictions;
    }

    /** Forgets the costs of evictions, as when a round begins or an order has been added. */
    void forgetCosts() {
        cheapestFirst.clear();
    }

    /** Returns the model that is cheapest to load again among those not in use; empty if there is none. */
    Optional<ModelName> nextEviction(
            EngineReplicaTracker tracker, Collection<EngineReplicaTracker> trackers, long nowMs) {
        return cheapestFirst(tracker, trackers, nowMs).stream().findFirst().map(Eviction::model);
    }

    /** Returns the cost of making room for a model, in milliseconds of waiting; infinite if that is not possible. */
    double makeRoomCostMs(
            EngineReplicaTracker tracker,
            ModelDefinition incoming,
            Collection<EngineReplicaTracker> trackers,
            long nowMs) {
        double missingMb = tracker.usedMb(engine) + incoming.sizeMb() - engine.modelMemoryMb();
        if (missingMb <= 0) {
            return 0;
        }
        double costMs = 0;
        // The cost is the same for all models of a round, which may be hundreds.
        for (Eviction evicted : cheapestFirst.computeIfAbsent(tracker, key -> cheapestFirst(key, trackers, nowMs))) {
            missingMb -= engine.models().get(evicted.model()).sizeMb();
            costMs += evicted.costMs();
            if (missingMb <= 0) {
                return costMs;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private List<Eviction> cheapestFirst(
            EngineReplicaTracker tracker, Collection<EngineReplicaTracker> trackers, long nowMs) {
        List<Eviction> sorted = new ArrayList<>();
        for (ModelName model : tracker.models().keySet()) {
            if (engine.models().containsKey(model) && !isInUse(tracker, model, trackers, nowMs)) {
                sorted.add(new Eviction(model, reloadCostMs(tracker, model, trackers, nowMs)));
            }
        }
        sorted.sort(Comparator.comparingDouble(Eviction::costMs).thenComparing(Eviction::model));
        return sorted;
    }

    private boolean isInUse(
            EngineReplicaTracker tracker, ModelName model, Collection<EngineReplicaTracker> trackers, long nowMs) {
        boolean stays = !evictions.isEvictable(tracker, model, nowMs);
        if (stays || demand.running(tracker.id(), model, nowMs) > 0) {
            return true;
        }
        ModelDefinition definition = engine.models().get(model);
        boolean rare = demand.callsPerSecond(model, nowMs) < MIN_CALLS_PER_S;
        boolean soonLoadedElsewhere = evictions.callersTolerateLoad(definition, nowMs)
                && fastestElsewhereMs(tracker, definition, trackers) < definition.remoteLoadMs();
        return !rare && !soonLoadedElsewhere && !evictions.isSpare(tracker, model, trackers, nowMs);
    }

    private double reloadCostMs(
            EngineReplicaTracker tracker, ModelName model, Collection<EngineReplicaTracker> trackers, long nowMs) {
        double costMs = evictions.evictionCostMs(tracker, model, trackers, nowMs);
        if (!demand.anyArrivals(nowMs)) {
            // Before the first call a model with many replicas is expected to get calls, wherever its copies are.
            return costMs;
        }
        ModelDefinition definition = engine.models().get(model);
        double relativeToDisk =
                (double) fastestElsewhereMs(tracker, definition, trackers) / Math.max(1, definition.diskLoadMs());
        return costMs * relativeToDisk;
    }

    /** Returns how long a load of a model takes on another engine that is free for it, in milliseconds. */
    private static long fastestElsewhereMs(
            EngineReplicaTracker here, ModelDefinition model, Collection<EngineReplicaTracker> trackers) {
        long fastestMs = model.remoteLoadMs();
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker != here && tracker.acceptsModelOrder()) {
                fastestMs = Math.min(fastestMs, tracker.loadMs(model));
            }
        }
        return fastestMs;
    }
}

package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Chooses the models that are evicted from an engine and estimates the cost of evictions in waiting time. */
final class EvictionChooser {
    /** The time ahead for which the calls for an evicted model are counted. */
    private static final double COST_HORIZON_S = 4;
    /** The call rate that is assumed for a model without recent calls. */
    private static final double MIN_CALLS_PER_S = 0.02;
    /** The share of the eviction cost that counts when other engines have enough replicas of the model. */
    private static final double SPARE_REPLICA_COST_SHARE = 0.1;
    /** The share of the eviction cost that counts when callers meet their latency target even after a load. */
    private static final double TOLERANT_CALLERS_COST_SHARE = 0.25;
    /** A load makes calls wait this many times its own time, with the unload before it and the queue behind it. */
    private static final double LOAD_WAIT_FACTOR = 2;
    /** The minimum time that a model stays, so that the calls for which it was loaded arrive. */
    private static final long MIN_RESIDENCE_MS = 700;
    /** The expected time until a model that may not be evicted now can be. */
    private static final double EXPECTED_STAY_MS = 1_200;
    /** The approximate time that an unload waits for the calls that run. */
    private static final double DRAIN_MS = 1_500;
    /** The approximate time of an unload of a model that runs no calls. */
    private static final double IDLE_UNLOAD_MS = 30;

    private final EngineDefinition engine;
    private final EntryDemandAggregator demand;
    private final ReplicaCountEstimator replicaCounts;

    EvictionChooser(EngineDefinition engine, EntryDemandAggregator demand, ReplicaCountEstimator replicaCounts) {
        this.engine = engine;
        this.demand = demand;
        this.replicaCounts = replicaCounts;
    }

    /**
     * Returns the model whose eviction costs least; empty if that model may not be evicted yet.
     *
     * <p>The wait until it may be evicted is part of the cost, so that a model that costs more than that is never
     * evicted in its place.
     */
    Optional<ModelName> nextEviction(
            EngineReplicaTracker tracker, Collection<EngineReplicaTracker> trackers, long nowMs) {
        return tracker.models().keySet().stream()
                .min(Comparator.comparingDouble((ModelName model) -> evictionCostMs(tracker, model, trackers, nowMs))
                        .thenComparing(model -> model))
                .filter(model -> isEvictable(model, tracker.models().get(model), nowMs));
    }

    /** Returns the cost of evicting a model, including the time until it may be evicted. */
    double evictionCostMs(
            EngineReplicaTracker tracker, ModelName model, Collection<EngineReplicaTracker> trackers, long nowMs) {
        boolean evictable = isEvictable(model, tracker.models().get(model), nowMs);
        return unloadCostMs(tracker, model, trackers, nowMs) + (evictable ? 0 : EXPECTED_STAY_MS);
    }

    /**
     * Returns the cost of making room for a model, in milliseconds of waiting; infinite if that is not possible.
     *
     * <p>The cost of a model that may not be evicted yet includes the time until it may be.
     */
    double makeRoomCostMs(
            EngineReplicaTracker tracker,
            ModelDefinition incoming,
            Collection<EngineReplicaTracker> trackers,
            long nowMs) {
        double missingMb = tracker.usedMb(engine) + incoming.sizeMb() - engine.modelMemoryMb();
        double costMs = 0;
        for (ModelName evicted : cheapestFirst(tracker, trackers, nowMs)) {
            if (missingMb <= 0) {
                return costMs;
            }
            missingMb -= engine.models().containsKey(evicted)
                    ? engine.models().get(evicted).sizeMb()
                    : 0;
            costMs += evictionCostMs(tracker, evicted, trackers, nowMs);
        }
        return missingMb <= 0 ? costMs : Double.POSITIVE_INFINITY;
    }

    private List<ModelName> cheapestFirst(
            EngineReplicaTracker tracker, Collection<EngineReplicaTracker> trackers, long nowMs) {
        List<ModelName> models = new ArrayList<>(tracker.models().keySet());
        models.sort(Comparator.comparingDouble((ModelName model) -> evictionCostMs(tracker, model, trackers, nowMs))
                .thenComparing(model -> model));
        return models;
    }

    /** A model that calls wait for, or that has only just been loaded for them, stays. */
    private boolean isEvictable(ModelName model, ResidentModel resident, long nowMs) {
        boolean stayedLongEnough = nowMs - resident.readySinceMs() >= MIN_RESIDENCE_MS;
        return resident.ready() && stayedLongEnough && !demand.hasWaitingCalls(model, nowMs);
    }

    /** Returns whether a loaded model may be evicted now. */
    boolean isEvictable(EngineReplicaTracker tracker, ModelName model, long nowMs) {
        return isEvictable(model, tracker.models().get(model), nowMs);
    }

    /** Returns whether the calls for a model can wait for a load from disk and still meet their latency target. */
    boolean callersTolerateLoad(ModelDefinition model, long nowMs) {
        return demand.minLatencyTargetMs(model.name(), nowMs) > LOAD_WAIT_FACTOR * model.diskLoadMs();
    }

    private double unloadCostMs(
            EngineReplicaTracker tracker, ModelName model, Collection<EngineReplicaTracker> trackers, long nowMs) {
        double waitMs = demand.running(tracker.id(), model, nowMs) > 0 ? DRAIN_MS : IDLE_UNLOAD_MS;
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return waitMs;
        }
        double share = isSpare(tracker, model, trackers, nowMs) ? SPARE_REPLICA_COST_SHARE : 1;
        // Before the first call, a model that is loaded on many engines is expected to get more calls.
        double weight = demand.anyArrivals(nowMs) ? 1 : replicaCount(model, trackers);
        return waitMs + share * weight * reloadWaitMs(definition, nowMs);
    }

    /** Returns the waiting time that a spare replica of a model saves, in milliseconds. */
    double spareReplicaSavingMs(ModelDefinition model, long nowMs) {
        return SPARE_REPLICA_COST_SHARE * reloadWaitMs(model, nowMs);
    }

    /**
     * Returns the total time that the calls for a model would wait if it had to be loaded for them, in milliseconds.
     */
    private double reloadWaitMs(ModelDefinition model, long nowMs) {
        double calls = Math.max(MIN_CALLS_PER_S, demand.callsPerSecond(model.name(), nowMs)) * COST_HORIZON_S;
        double costShare = callersTolerateLoad(model, nowMs) ? TOLERANT_CALLERS_COST_SHARE : 1;
        return calls * costShare * model.diskLoadMs();
    }

    /** Returns whether the other replicas of a model are enough for its calls. */
    boolean isSpare(EngineReplicaTracker here, ModelName model, Collection<EngineReplicaTracker> trackers, long nowMs) {
        int others = replicaCount(model, trackers) - (here.serves(model) ? 1 : 0);
        return others >= replicaCounts.retainedReplicas(model, nowMs);
    }

    private static int replicaCount(ModelName model, Collection<EngineReplicaTracker> trackers) {
        int replicas = 0;
        for (EngineReplicaTracker tracker : trackers) {
            replicas += tracker.serves(model) ? 1 : 0;
        }
        return replicas;
    }
}

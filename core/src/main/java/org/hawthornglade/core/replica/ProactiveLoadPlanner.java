package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Orders loads other than those of absent models that calls wait for: further replicas of loaded models, and preloads
 * of absent models.
 */
final class ProactiveLoadPlanner {
    /** A model with at least this many calls a second gets a second replica, if its callers cannot wait for a load. */
    private static final double SECOND_REPLICA_CALLS_PER_S = 0.5;
    /** A spare replica must save this many times what is lost by the evictions that make room for it. */
    private static final double MIN_GAIN_FACTOR = 1.5;

    private final EngineDefinition engine;
    private final EntryDemandAggregator demand;
    private final AdapterPlanner adapters;
    private final EvictionChooser evictions;
    private final TargetEngineChooser targets;
    private final ReplicaCountEstimator replicaCounts;

    ProactiveLoadPlanner(
            EngineDefinition engine,
            EntryDemandAggregator demand,
            AdapterPlanner adapters,
            EvictionChooser evictions,
            TargetEngineChooser targets,
            ReplicaCountEstimator replicaCounts) {
        this.engine = engine;
        this.demand = demand;
        this.adapters = adapters;
        this.evictions = evictions;
        this.targets = targets;
        this.replicaCounts = replicaCounts;
    }

    /** Orders one more replica of each model that has too few, the model with the most missing replicas first. */
    void addRequiredReplicas(PlanningRound round) {
        List<ModelName> underReplicated = new ArrayList<>();
        for (ModelName model : engine.models().keySet()) {
            if (replicasToAdd(model, round) > 0) {
                underReplicated.add(model);
            }
        }
        underReplicated.sort(Comparator.comparingInt((ModelName model) -> -replicasToAdd(model, round)));
        underReplicated.forEach(model -> addReplica(engine.models().get(model), round));
    }

    /** Returns how many replicas a loaded model lacks; 0 or less if none, and 0 if it is absent or incoming. */
    private int replicasToAdd(ModelName model, PlanningRound round) {
        int current = replicaCount(model, round);
        boolean absent = current == 0;
        return absent || isIncoming(model, round) ? 0 : replicaCounts.requiredReplicas(model, round.nowMs()) - current;
    }

    /**
     * Orders a second replica, where its weights are local, of each model with steady calls that cannot wait for a
     * load.
     */
    void addSecondReplicas(PlanningRound round) {
        for (ModelDefinition model : engine.models().values()) {
            boolean single = replicaCount(model.name(), round) == 1 && !round.loadOrdered(model.name());
            if (!single || !needsSecondReplica(model, round.nowMs())) {
                continue;
            }
            EngineReplicaTracker target =
                    targets.cheapestWithWeights(model, round.trackers(), round.occupied(), round.nowMs());
            if (target != null && isWorthwhile(model, target, round)) {
                round.orderLoadOrEviction(target, model.name());
            }
        }
    }

    /**
     * Returns whether the expected saving of a second replica exceeds {@link #MIN_GAIN_FACTOR} times the cost of the
     * evictions that make room for it.
     */
    private boolean isWorthwhile(ModelDefinition model, EngineReplicaTracker target, PlanningRound round) {
        double evictedMs = evictions.makeRoomCostMs(target, model, round.trackers(), round.nowMs());
        return evictions.spareReplicaSavingMs(model, round.nowMs()) > MIN_GAIN_FACTOR * evictedMs;
    }

    private boolean needsSecondReplica(ModelDefinition model, long nowMs) {
        return demand.callsPerSecond(model.name(), nowMs) >= SECOND_REPLICA_CALLS_PER_S
                && !evictions.callersTolerateLoad(model, nowMs);
    }

    private static int replicaCount(ModelName model, PlanningRound round) {
        int replicas = 0;
        for (EngineReplicaTracker tracker : round.trackers()) {
            boolean here = tracker.holds(model) || tracker.incomingModel().equals(Optional.of(model));
            replicas += here && tracker.usable() ? 1 : 0;
        }
        return replicas;
    }

    /**
     * Orders one more replica of each model for whose adapters calls wait while no engine that serves the model has a
     * free adapter slot.
     */
    void addReplicasForAdapters(List<VariantDemand> waiting, PlanningRound round) {
        for (ModelName model : busiestFirst(round.nowMs())) {
            if (!isIncoming(model, round) && adapters.needsAnotherReplica(model, waiting, round.trackers())) {
                addReplica(engine.models().get(model), round);
            }
        }
    }

    private void addReplica(ModelDefinition model, PlanningRound round) {
        EngineReplicaTracker target =
                targets.cheapestWithWeights(model, round.trackers(), round.occupied(), round.nowMs());
        if (target == null && round.mayLoadRemotely()) {
            target = targets.cheapest(model, round.trackers(), round.occupied(), round.nowMs());
        }
        if (target != null) {
            round.orderLoadOrEviction(target, model.name());
        }
    }

    private static boolean isIncoming(ModelName model, PlanningRound round) {
        for (EngineReplicaTracker tracker : round.trackers()) {
            boolean incoming = tracker.incomingModel().equals(Optional.of(model));
            if (tracker.usable() && (incoming || tracker.isLoading(model))) {
                return true;
            }
        }
        return round.loadOrdered(model);
    }

    /**
     * Orders the load of models that no engine holds, in memory or as local weights, and that are not incoming, the
     * busiest models first.
     */
    void preloadAbsentModels(PlanningRound round) {
        for (ModelName model : busiestFirst(round.nowMs())) {
            boolean room = demand.anyArrivals(round.nowMs()) ? round.mayPreloadRemotely() : round.mayLoadRemotely();
            if (!room) {
                return;
            }
            if (round.loadOrdered(model) || isPresentOrIncoming(model, round)) {
                continue;
            }
            EngineReplicaTracker target =
                    targets.cheapest(engine.models().get(model), round.trackers(), round.occupied(), round.nowMs());
            if (target == null) {
                return;
            }
            round.orderLoadOrEviction(target, model);
        }
    }

    private List<ModelName> busiestFirst(long nowMs) {
        List<ModelName> models = new ArrayList<>(engine.models().keySet());
        models.sort(Comparator.comparingDouble(model -> -demand.callsPerSecond(model, nowMs)));
        return models;
    }

    /** Returns whether an engine that is not leaving holds a model, has its weights locally, or is about to load it. */
    private static boolean isPresentOrIncoming(ModelName model, PlanningRound round) {
        for (EngineReplicaTracker tracker : round.trackers()) {
            boolean here = tracker.holds(model)
                    || tracker.hasLocalWeights(model)
                    || tracker.incomingModel().equals(Optional.of(model));
            if (here && !tracker.leaving()) {
                return true;
            }
        }
        return false;
    }
}

package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Orders further replicas of loaded models, and loads of models that no engine holds yet, with the capacity that
 * waiting calls leave.
 */
final class ProactiveLoadPlanner {
    /** A model with this many calls a second gets a second replica, if its callers cannot wait for a load. */
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

    /** Orders the replicas that the calls for busy models need, beginning with the model that lacks most. */
    void addRequiredReplicas(PlanningRound round) {
        List<ModelName> lacking = new ArrayList<>();
        for (ModelName model : engine.models().keySet()) {
            if (replicasToAdd(model, round) > 0) {
                lacking.add(model);
            }
        }
        lacking.sort(Comparator.comparingInt((ModelName model) -> -replicasToAdd(model, round)));
        lacking.forEach(model -> addReplica(engine.models().get(model), round));
    }

    private int replicasToAdd(ModelName model, PlanningRound round) {
        int current = replicaCount(model, round);
        boolean first = current == 0;
        return first || isIncoming(model, round) ? 0 : replicaCounts.requiredReplicas(model, round.nowMs()) - current;
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
     * A spare replica saves what its eviction would cost; the evictions that make room for it must cost clearly less.
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

    /** Orders a further replica of models whose adapters find no slot, since each engine has few adapter slots. */
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

    /** Orders the load of models that no engine holds, in memory or as local weights, the busiest models first. */
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

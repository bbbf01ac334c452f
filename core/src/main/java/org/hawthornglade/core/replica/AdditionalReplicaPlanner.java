package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Brings models to further engines, and ones that are nowhere to any, with the capacity that waiting calls leave. */
final class AdditionalReplicaPlanner {
    /** A model with this many calls a second gets a second copy, if its callers cannot wait for a load. */
    private static final double SECOND_REPLICA_CALLS_PER_S = 0.5;
    /** A spare copy must be worth this many times what goes for it. */
    private static final double MIN_GAIN_FACTOR = 1.5;

    private final EngineDefinition engine;
    private final DemandTracker demand;
    private final AdapterPlanner adapters;
    private final EvictionChooser evictions;
    private final TargetEngineChooser targets;
    private final ReplicaCountEstimator replicaCounts;

    AdditionalReplicaPlanner(
            EngineDefinition engine,
            DemandTracker demand,
            AdapterPlanner adapters,
            EvictionChooser victims,
            TargetEngineChooser hosts,
            ReplicaCountEstimator need) {
        this.engine = engine;
        this.demand = demand;
        this.adapters = adapters;
        this.evictions = victims;
        this.targets = hosts;
        this.replicaCounts = need;
    }

    /** Gives busy models the copies that their calls need, the one that lacks most first. */
    void addRequiredReplicas(PlanningRound round) {
        List<ModelName> lacking = new ArrayList<>();
        for (ModelName model : engine.models().keySet()) {
            if (missingReplicas(model, round) > 0) {
                lacking.add(model);
            }
        }
        lacking.sort(Comparator.comparingInt((ModelName model) -> -missingReplicas(model, round)));
        lacking.forEach(model -> addReplica(engine.models().get(model), round));
    }

    private int missingReplicas(ModelName model, PlanningRound round) {
        int there = replicaCount(model, round);
        boolean first = there == 0;
        return first || isIncoming(model, round) ? 0 : replicaCounts.requiredReplicas(model, round.nowMs()) - there;
    }

    /** Gives each model with steady calls that cannot wait for a load a second copy, where its weights lie. */
    void addSecondReplicas(PlanningRound round) {
        for (ModelDefinition model : engine.models().values()) {
            boolean single = replicaCount(model.name(), round) == 1 && !round.loadOrdered(model.name());
            if (!single || !needsSecondReplica(model, round.nowMs())) {
                continue;
            }
            EngineReplicaTracker host = targets.cheapestWithWeights(model, round.books(), round.occupied(), round.nowMs());
            if (host != null && isWorthwhile(model, host, round)) {
                round.orderLoadOrEviction(host, model.name());
            }
        }
    }

    /** A spare copy saves what its removal would cost; what goes for it must be worth clearly less. */
    private boolean isWorthwhile(ModelDefinition model, EngineReplicaTracker host, PlanningRound round) {
        double goneMs = evictions.makeRoomCostMs(host, model, round.books(), round.nowMs());
        return evictions.spareReplicaSavingMs(model, round.nowMs()) > MIN_GAIN_FACTOR * goneMs;
    }

    private boolean needsSecondReplica(ModelDefinition model, long nowMs) {
        return demand.callsPerSecond(model.name(), nowMs) >= SECOND_REPLICA_CALLS_PER_S && !evictions.callersTolerateLoad(model, nowMs);
    }

    private static int replicaCount(ModelName model, PlanningRound round) {
        int copies = 0;
        for (EngineReplicaTracker book : round.books()) {
            boolean here = book.holds(model) || book.incomingModel().equals(Optional.of(model));
            copies += here && book.usable() ? 1 : 0;
        }
        return copies;
    }

    /** Gives models whose adapters find no place a further copy, since each engine has places for a few only. */
    void addReplicasForAdapters(List<VariantDemand> waiting, PlanningRound round) {
        for (ModelName model : busiestFirst(round.nowMs())) {
            if (!isIncoming(model, round) && adapters.needsAnotherReplica(model, waiting, round.books())) {
                addReplica(engine.models().get(model), round);
            }
        }
    }

    private void addReplica(ModelDefinition model, PlanningRound round) {
        EngineReplicaTracker host = targets.cheapestWithWeights(model, round.books(), round.occupied(), round.nowMs());
        if (host == null && round.mayLoadRemotely()) {
            host = targets.cheapest(model, round.books(), round.occupied(), round.nowMs());
        }
        if (host != null) {
            round.orderLoadOrEviction(host, model.name());
        }
    }

    private static boolean isIncoming(ModelName model, PlanningRound round) {
        for (EngineReplicaTracker book : round.books()) {
            boolean coming = book.incomingModel().equals(Optional.of(model));
            if (book.usable() && (coming || book.isLoading(model))) {
                return true;
            }
        }
        return round.loadOrdered(model);
    }

    /** Brings models that are nowhere to an engine that can spare the room, the busiest first. */
    void preloadAbsentModels(PlanningRound round) {
        for (ModelName model : busiestFirst(round.nowMs())) {
            boolean room =
                    demand.anyArrivals(round.nowMs()) ? round.mayPreloadRemotely() : round.mayLoadRemotely();
            if (!room) {
                return;
            }
            if (round.loadOrdered(model) || isLocalAnywhere(model, round)) {
                continue;
            }
            EngineReplicaTracker host = targets.cheapest(engine.models().get(model), round.books(), round.occupied(), round.nowMs());
            if (host == null) {
                return;
            }
            round.orderLoadOrEviction(host, model);
        }
    }

    private List<ModelName> busiestFirst(long nowMs) {
        List<ModelName> models = new ArrayList<>(engine.models().keySet());
        models.sort(Comparator.comparingDouble(model -> -demand.callsPerSecond(model, nowMs)));
        return models;
    }

    private static boolean isLocalAnywhere(ModelName model, PlanningRound round) {
        for (EngineReplicaTracker book : round.books()) {
            boolean here =
                    book.holds(model) || book.hasLocalWeights(model) || book.incomingModel().equals(Optional.of(model));
            if (here && !book.leaving()) {
                return true;
            }
        }
        return false;
    }
}

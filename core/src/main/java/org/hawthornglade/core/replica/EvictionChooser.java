package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Says which models make room on an engine and what their going costs in waiting time. */
final class EvictionChooser {
    /** For how long ahead the calls for a removed model are counted. */
    private static final double COST_HORIZON_S = 4;
    /** What is expected of a model that nobody has asked for lately. */
    private static final double MIN_CALLS_PER_S = 0.02;
    /** Share of a removed model's cost when another engine has it too. */
    private static final double SPARE_REPLICA_COST_SHARE = 0.1;
    /** Share of a removed model's cost when its callers are on time even after a load. */
    private static final double TOLERANT_CALLERS_COST_SHARE = 0.25;
    /** A load takes this many times its own time with the unload before and the queue behind it. */
    private static final double LOAD_WAIT_FACTOR = 2;
    /** How long a model stays at least, so that the calls which it came for arrive. */
    private static final long MIN_RESIDENCE_MS = 700;
    /** How long a model that may not go now is expected to stay. */
    private static final double EXPECTED_STAY_MS = 1_200;
    /** An unload waits for the calls that run; they take about this long. */
    private static final double DRAIN_MS = 1_500;
    /** An unload of a model that nobody uses. */
    private static final double IDLE_UNLOAD_MS = 30;

    private final EngineDefinition engine;
    private final DemandTracker demand;
    private final ReplicaCountEstimator replicaCounts;

    EvictionChooser(EngineDefinition engine, DemandTracker demand, ReplicaCountEstimator need) {
        this.engine = engine;
        this.demand = demand;
        this.replicaCounts = need;
    }

    /**
     * Returns the model whose going costs least; nothing if that one has to stay for the moment.
     *
     * <p>A model that is costlier by more than that moment never goes in its place.
     */
    Optional<ModelName> nextEviction(EngineReplicaTracker book, Collection<EngineReplicaTracker> books, long nowMs) {
        return book.models().keySet().stream()
                .min(Comparator.comparingDouble((ModelName model) -> evictionCostMs(book, model, books, nowMs))
                        .thenComparing(model -> model))
                .filter(model -> isEvictable(model, book.models().get(model), nowMs));
    }

    /** Returns what the going of a model costs, with the time until it may go. */
    private double evictionCostMs(EngineReplicaTracker book, ModelName model, Collection<EngineReplicaTracker> books, long nowMs) {
        boolean mayGo = isEvictable(model, book.models().get(model), nowMs);
        return unloadCostMs(book, model, books, nowMs) + (mayGo ? 0 : EXPECTED_STAY_MS);
    }

    /**
     * Returns what making room for a model costs, in milliseconds of waiting; infinite if that is not possible.
     *
     * <p>A model that has to stay for the moment counts with the time until it may go.
     */
    double makeRoomCostMs(EngineReplicaTracker book, ModelDefinition wanted, Collection<EngineReplicaTracker> books, long nowMs) {
        double missingMb = book.usedMb(engine) + wanted.sizeMb() - engine.modelMemoryMb();
        double costMs = 0;
        for (ModelName victim : cheapestFirst(book, books, nowMs)) {
            if (missingMb <= 0) {
                return costMs;
            }
            missingMb -= engine.models().containsKey(victim)
                    ? engine.models().get(victim).sizeMb()
                    : 0;
            costMs += evictionCostMs(book, victim, books, nowMs);
        }
        return missingMb <= 0 ? costMs : Double.POSITIVE_INFINITY;
    }

    private List<ModelName> cheapestFirst(EngineReplicaTracker book, Collection<EngineReplicaTracker> books, long nowMs) {
        List<ModelName> models = new ArrayList<>(book.models().keySet());
        models.sort(Comparator.comparingDouble((ModelName model) -> evictionCostMs(book, model, books, nowMs))
                .thenComparing(model -> model));
        return models;
    }

    /** A model that calls wait for, or that has only just come for them, stays. */
    private boolean isEvictable(ModelName model, ResidentModel resident, long nowMs) {
        boolean settled = nowMs - resident.readySinceMs() >= MIN_RESIDENCE_MS;
        return resident.ready() && settled && !demand.hasWaitingCalls(model, nowMs);
    }

    /** Returns whether the calls for a model can wait for a load from disk and still be on time. */
    boolean callersTolerateLoad(ModelDefinition model, long nowMs) {
        return demand.minLatencyTargetMs(model.name(), nowMs) > LOAD_WAIT_FACTOR * model.diskLoadMs();
    }

    private double unloadCostMs(EngineReplicaTracker book, ModelName model, Collection<EngineReplicaTracker> books, long nowMs) {
        double waitMs = demand.running(book.id(), model, nowMs) > 0 ? DRAIN_MS : IDLE_UNLOAD_MS;
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return waitMs;
        }
        double share = isSpare(book, model, books, nowMs) ? SPARE_REPLICA_COST_SHARE : 1;
        // Before the first call, what was placed on many engines is expected to be asked for more.
        double weight = demand.anyArrivals(nowMs) ? 1 : replicaCount(model, books);
        return waitMs + share * weight * reloadWaitMs(definition, nowMs);
    }

    /** Returns what a spare copy of a model saves, in milliseconds of waiting. */
    double spareReplicaSavingMs(ModelDefinition model, long nowMs) {
        return SPARE_REPLICA_COST_SHARE * reloadWaitMs(model, nowMs);
    }

    /** Returns how long the calls for a model would wait together if it had to be loaded for them. */
    private double reloadWaitMs(ModelDefinition model, long nowMs) {
        double calls = Math.max(MIN_CALLS_PER_S, demand.callsPerSecond(model.name(), nowMs)) * COST_HORIZON_S;
        double patience = callersTolerateLoad(model, nowMs) ? TOLERANT_CALLERS_COST_SHARE : 1;
        return calls * patience * model.diskLoadMs();
    }

    /** Returns whether the other copies of a model are enough for its calls. */
    private boolean isSpare(EngineReplicaTracker here, ModelName model, Collection<EngineReplicaTracker> books, long nowMs) {
        int others = replicaCount(model, books) - (here.serves(model) ? 1 : 0);
        return others >= replicaCounts.retainedReplicas(model, nowMs);
    }

    private static int replicaCount(ModelName model, Collection<EngineReplicaTracker> books) {
        int copies = 0;
        for (EngineReplicaTracker book : books) {
            copies += book.serves(model) ? 1 : 0;
        }
        return copies;
    }
}

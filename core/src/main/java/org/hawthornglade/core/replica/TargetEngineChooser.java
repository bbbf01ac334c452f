package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.ModelDefinition;

/** Says which engine a model is brought to. */
final class TargetEngineChooser {
    /** While an engine loads a model it takes no adapters; this share of its calls is held up by that. */
    private static final double DELAYED_CALL_SHARE = 0.5;

    private static final double MS_PER_S = 1_000;

    private final DemandTracker demand;
    private final EvictionChooser evictions;

    TargetEngineChooser(DemandTracker demand, EvictionChooser victims) {
        this.demand = demand;
        this.evictions = victims;
    }

    /** Returns the engine that will have the model soonest and at the least cost to others, busy ones included. */
    EngineReplicaTracker soonest(ModelDefinition model, PlanningRound round) {
        Collection<EngineReplicaTracker> books = round.books();
        long nowMs = round.nowMs();
        boolean mayLoadRemotely = round.mayLoadRemotely();
        EngineReplicaTracker best = null;
        double bestMs = Double.POSITIVE_INFINITY;
        for (EngineReplicaTracker book : books) {
            boolean possible = book.hasLocalWeights(model.name()) || mayLoadRemotely;
            if (!possible || !book.usable() || book.pendingModel().isPresent()) {
                continue;
            }
            long orderedMs = round.occupied().contains(book) ? book.loadMs(model) : 0;
            double costMs = book.freeInMs(nowMs) + orderedMs + costMs(book, model, books, nowMs);
            if (costMs < bestMs) {
                best = book;
                bestMs = costMs;
            }
        }
        return best;
    }

    /** Returns the free engine on which the model costs least; null if there is none. */
    EngineReplicaTracker cheapest(ModelDefinition model, Collection<EngineReplicaTracker> books, Set<EngineReplicaTracker> taken, long nowMs) {
        return cheapest(model, books, book -> isFree(book, taken), nowMs);
    }

    /** The same among the engines that have the weights at hand. */
    EngineReplicaTracker cheapestWithWeights(
            ModelDefinition model, Collection<EngineReplicaTracker> books, Set<EngineReplicaTracker> taken, long nowMs) {
        return cheapest(model, books, book -> isFree(book, taken) && book.hasLocalWeights(model.name()), nowMs);
    }

    private EngineReplicaTracker cheapest(
            ModelDefinition model, Collection<EngineReplicaTracker> books, Predicate<EngineReplicaTracker> allowed, long nowMs) {
        EngineReplicaTracker best = null;
        double bestMs = Double.POSITIVE_INFINITY;
        for (EngineReplicaTracker book : books) {
            if (!allowed.test(book) || book.holds(model.name())) {
                continue;
            }
            double costMs = costMs(book, model, books, nowMs);
            if (costMs < bestMs) {
                best = book;
                bestMs = costMs;
            }
        }
        return best;
    }

    private static boolean isFree(EngineReplicaTracker book, Set<EngineReplicaTracker> taken) {
        return !taken.contains(book) && book.acceptsModelOrder() && book.pendingModel().isEmpty();
    }

    private double costMs(EngineReplicaTracker book, ModelDefinition model, Collection<EngineReplicaTracker> books, long nowMs) {
        double loadMs = book.loadMs(model);
        return loadMs + evictions.makeRoomCostMs(book, model, books, nowMs) + adapterDelayMs(book, loadMs, nowMs);
    }

    /** Returns the waiting of calls for adapters that the engine cannot load meanwhile. */
    private double adapterDelayMs(EngineReplicaTracker book, double loadMs, long nowMs) {
        double callsPerS = 0;
        for (ModelName resident : book.models().keySet()) {
            boolean hasAdapters = !book.models().get(resident).adapters().isEmpty();
            callsPerS += hasAdapters ? demand.callsPerSecond(resident, nowMs) : 0;
        }
        return DELAYED_CALL_SHARE * callsPerS * loadMs / MS_PER_S * loadMs;
    }
}

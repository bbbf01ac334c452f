package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.ModelDefinition;

/** Says which engine a model is brought to. */
final class HostChooser {
    /** While an engine loads a model it takes no adapters; this share of its calls is held up by that. */
    private static final double ADAPTER_CALL_SHARE = 0.5;

    private static final double MS_PER_S = 1_000;

    private final DemandBook demand;
    private final VictimChooser victims;

    HostChooser(DemandBook demand, VictimChooser victims) {
        this.demand = demand;
        this.victims = victims;
    }

    /** Returns the engine that will have the model soonest and at the least cost to others, busy ones included. */
    EngineBook soonest(ModelDefinition model, PlanRound round) {
        Collection<EngineBook> books = round.books();
        long nowMs = round.nowMs();
        boolean mayLoadRemotely = round.mayLoadRemotely();
        EngineBook best = null;
        double bestMs = Double.POSITIVE_INFINITY;
        for (EngineBook book : books) {
            boolean possible = book.atHand(model.name()) || mayLoadRemotely;
            if (!possible || !book.trusted() || book.goal().isPresent()) {
                continue;
            }
            long orderedMs = round.taken().contains(book) ? book.loadMs(model) : 0;
            double costMs = book.freeInMs(nowMs) + orderedMs + costMs(book, model, books, nowMs);
            if (costMs < bestMs) {
                best = book;
                bestMs = costMs;
            }
        }
        return best;
    }

    /** Returns the free engine on which the model costs least; null if there is none. */
    EngineBook cheapest(ModelDefinition model, Collection<EngineBook> books, Set<EngineBook> taken, long nowMs) {
        return cheapest(model, books, book -> free(book, taken), nowMs);
    }

    /** The same among the engines that have the weights at hand. */
    EngineBook cheapestWithWeights(
            ModelDefinition model, Collection<EngineBook> books, Set<EngineBook> taken, long nowMs) {
        return cheapest(model, books, book -> free(book, taken) && book.atHand(model.name()), nowMs);
    }

    private EngineBook cheapest(
            ModelDefinition model, Collection<EngineBook> books, Predicate<EngineBook> allowed, long nowMs) {
        EngineBook best = null;
        double bestMs = Double.POSITIVE_INFINITY;
        for (EngineBook book : books) {
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

    private static boolean free(EngineBook book, Set<EngineBook> taken) {
        return !taken.contains(book) && book.takesModelOrder() && book.goal().isEmpty();
    }

    private double costMs(EngineBook book, ModelDefinition model, Collection<EngineBook> books, long nowMs) {
        double loadMs = book.loadMs(model);
        return loadMs + victims.costMs(book, model, books, nowMs) + heldUpMs(book, loadMs, nowMs);
    }

    /** Returns the waiting of calls for adapters that the engine cannot load meanwhile. */
    private double heldUpMs(EngineBook book, double loadMs, long nowMs) {
        double callsPerS = 0;
        for (ModelName resident : book.models().keySet()) {
            boolean hasAdapters = !book.models().get(resident).adapters().isEmpty();
            callsPerS += hasAdapters ? demand.callsPerSecond(resident, nowMs) : 0;
        }
        return ADAPTER_CALL_SHARE * callsPerS * loadMs / MS_PER_S * loadMs;
    }
}

package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.ModelDefinition;

/** Chooses the engine on which a model is loaded. */
final class TargetEngineChooser {
    /** While an engine loads a model it loads no adapters; this share of its adapter calls is delayed by that. */
    private static final double DELAYED_CALL_SHARE = 0.5;

    private static final double MS_PER_S = 1_000;

    private final EntryDemandAggregator demand;
    private final EvictionChooser evictions;

    TargetEngineChooser(EntryDemandAggregator demand, EvictionChooser evictions) {
        this.demand = demand;
        this.evictions = evictions;
    }

    /**
     * Returns the engine that will have the model soonest and at the least cost to other models, busy engines included.
     */
    EngineReplicaTracker soonest(ModelDefinition model, PlanningRound round) {
        Collection<EngineReplicaTracker> trackers = round.trackers();
        long nowMs = round.nowMs();
        boolean mayLoadRemotely = round.mayLoadRemotely();
        EngineReplicaTracker best = null;
        double bestMs = Double.POSITIVE_INFINITY;
        for (EngineReplicaTracker tracker : trackers) {
            boolean possible = tracker.hasLocalWeights(model.name()) || mayLoadRemotely;
            if (!possible || !tracker.usable() || tracker.pendingModel().isPresent()) {
                continue;
            }
            long orderedMs = round.occupied().contains(tracker) ? tracker.loadMs(model) : 0;
            double costMs = tracker.freeInMs(nowMs) + orderedMs + costMs(tracker, model, trackers, nowMs);
            if (costMs < bestMs) {
                best = tracker;
                bestMs = costMs;
            }
        }
        return best;
    }

    /** Returns the free engine on which loading the model costs least; null if there is none. */
    EngineReplicaTracker cheapest(
            ModelDefinition model,
            Collection<EngineReplicaTracker> trackers,
            Set<EngineReplicaTracker> occupied,
            long nowMs) {
        return cheapest(model, trackers, tracker -> isFree(tracker, occupied), nowMs);
    }

    /** Returns the cheapest free engine among those with local weights of the model; null if there is none. */
    EngineReplicaTracker cheapestWithWeights(
            ModelDefinition model,
            Collection<EngineReplicaTracker> trackers,
            Set<EngineReplicaTracker> occupied,
            long nowMs) {
        return cheapest(
                model, trackers, tracker -> isFree(tracker, occupied) && tracker.hasLocalWeights(model.name()), nowMs);
    }

    private EngineReplicaTracker cheapest(
            ModelDefinition model,
            Collection<EngineReplicaTracker> trackers,
            Predicate<EngineReplicaTracker> allowed,
            long nowMs) {
        EngineReplicaTracker best = null;
        double bestMs = Double.POSITIVE_INFINITY;
        for (EngineReplicaTracker tracker : trackers) {
            if (!allowed.test(tracker) || tracker.holds(model.name())) {
                continue;
            }
            double costMs = costMs(tracker, model, trackers, nowMs);
            if (costMs < bestMs) {
                best = tracker;
                bestMs = costMs;
            }
        }
        return best;
    }

    /** Returns whether an engine can get a model order in this round. */
    static boolean isFree(EngineReplicaTracker tracker, Set<EngineReplicaTracker> occupied) {
        return !occupied.contains(tracker)
                && tracker.acceptsModelOrder()
                && tracker.pendingModel().isEmpty();
    }

    private double costMs(
            EngineReplicaTracker tracker,
            ModelDefinition model,
            Collection<EngineReplicaTracker> trackers,
            long nowMs) {
        double loadMs = tracker.loadMs(model);
        return loadMs
                + evictions.makeRoomCostMs(tracker, model, trackers, nowMs)
                + adapterDelayMs(tracker, loadMs, nowMs);
    }

    /** Returns the waiting time in milliseconds of calls for adapters that the engine cannot load meanwhile. */
    double adapterDelayMs(EngineReplicaTracker tracker, double loadMs, long nowMs) {
        double callsPerS = 0;
        for (ModelName resident : tracker.models().keySet()) {
            boolean hasAdapters = !tracker.models().get(resident).adapters().isEmpty();
            callsPerS += hasAdapters ? demand.callsPerSecond(resident, nowMs) : 0;
        }
        return DELAYED_CALL_SHARE * callsPerS * loadMs / MS_PER_S * loadMs;
    }
}

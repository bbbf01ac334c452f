package org.hawthornglade.core.replica;

import java.util.Comparator;
import java.util.Set;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Chooses the engine that fetches a copy that no call waits for.
 *
 * <p>The engine accepts no other order during the fetch, so that the models that only its disk has cannot be loaded.
 */
final class DiskCopyTargets {
    private static final double MS_PER_S = 1_000;

    private record Candidate(EngineReplicaTracker tracker, boolean domainTaken, double costMs, int localModels) {}

    private final EngineDefinition engine;
    private final EntryDemandAggregator demand;
    private final CopyEvictionChooser evictions;
    private final TargetEngineChooser targets;

    DiskCopyTargets(
            EngineDefinition engine,
            EntryDemandAggregator demand,
            CopyEvictionChooser evictions,
            TargetEngineChooser targets) {
        this.engine = engine;
        this.demand = demand;
        this.evictions = evictions;
        this.targets = targets;
    }

    /**
     * Returns the engine on which the fetch delays calls least, in another failure domain than the model's copies if
     * possible; null if there is none.
     *
     * @param awaited the models that calls wait for and that have to be loaded
     */
    EngineReplicaTracker choose(ModelDefinition model, Set<ModelName> awaited, CopyIndex copies, PlanningRound round) {
        Set<FailureDomain> taken = copies.domains(model.name());
        return round.trackers().stream()
                .filter(tracker -> isFree(tracker, model, awaited, round))
                .map(tracker -> candidate(tracker, model, taken, copies, round))
                .filter(candidate -> candidate.costMs() < Double.POSITIVE_INFINITY)
                .min(Comparator.comparing(Candidate::domainTaken)
                        .thenComparingDouble(Candidate::costMs)
                        .thenComparingInt(Candidate::localModels)
                        .thenComparing(candidate -> candidate.tracker().id()))
                .map(Candidate::tracker)
                .orElse(null);
    }

    private static boolean isFree(
            EngineReplicaTracker tracker, ModelDefinition model, Set<ModelName> awaited, PlanningRound round) {
        return TargetEngineChooser.isFree(tracker, round.occupied())
                && !tracker.holds(model.name())
                && !tracker.hasLocalWeights(model.name())
                && !isNeededFor(awaited, tracker);
    }

    /** Returns whether an engine has local weights of a model that calls wait for. */
    static boolean isNeededFor(Set<ModelName> awaited, EngineReplicaTracker tracker) {
        return awaited.stream().anyMatch(tracker::hasLocalWeights);
    }

    private Candidate candidate(
            EngineReplicaTracker tracker,
            ModelDefinition model,
            Set<FailureDomain> taken,
            CopyIndex copies,
            PlanningRound round) {
        long nowMs = round.nowMs();
        double fetchMs = (double) model.remoteLoadMs();
        double costMs = evictions.makeRoomCostMs(tracker, model, round.trackers(), nowMs);
        if (costMs < Double.POSITIVE_INFINITY) {
            costMs += targets.adapterDelayMs(tracker, fetchMs, nowMs) + blockedCallsMs(tracker, fetchMs, copies, nowMs);
        }
        boolean domainTaken = taken.contains(tracker.listed().failureDomain());
        return new Candidate(tracker, domainTaken, costMs, tracker.localModels().size());
    }

    /** Returns the waiting time of the calls for models that only this engine has and that it cannot load meanwhile. */
    private double blockedCallsMs(EngineReplicaTracker tracker, double fetchMs, CopyIndex copies, long nowMs) {
        double callsPerS = 0;
        for (ModelName model : tracker.localModels()) {
            boolean blocked = engine.models().containsKey(model)
                    && !tracker.holds(model)
                    && copies.isOnlyUsableCopy(tracker, model);
            callsPerS += blocked ? demand.callsPerSecond(model, nowMs) : 0;
        }
        return callsPerS * fetchMs / MS_PER_S * fetchMs / 2;
    }
}

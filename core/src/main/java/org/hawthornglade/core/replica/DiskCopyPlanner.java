package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Orders fetches from the weight store that no call waits for: of models that are on no disk, by what their callers
 * lose, and then second copies of models that are on one disk only.
 *
 * <p>Used where engines report their copies and the models do not all fit into the engines. A fetch never takes store
 * capacity that a load needs for which calls wait. See docs/design/weights.md.
 */
final class DiskCopyPlanner {
    /**
     * The maximum number of calls for other models on no disk that may be expected during a fetch where the store
     * serves one load at full speed: their loads would wait for the fetch.
     */
    private static final double MAX_DELAYED_CALLS = 0.1;

    private static final double MS_PER_S = 1_000;

    /** A fetch for which evictions make room. */
    private record PendingFetch(ModelName model, CopyReason reason) {}

    private final EngineDefinition engine;
    private final EntryDemandAggregator demand;
    private final CopyEvictionChooser evictions;
    private final DiskCopyTargets targets;
    private final RemoteLoadListener listener;
    private final int enginesForAllModels;
    private final Map<InstanceId, PendingFetch> pending = new HashMap<>();

    DiskCopyPlanner(
            EngineDefinition engine,
            EntryDemandAggregator demand,
            EvictionChooser evictions,
            TargetEngineChooser targets,
            RemoteLoadListener listener) {
        this.engine = engine;
        this.demand = demand;
        this.evictions = new CopyEvictionChooser(engine, demand, evictions);
        this.targets = new DiskCopyTargets(engine, demand, this.evictions, targets);
        this.listener = listener;
        this.enginesForAllModels = enginesForAllModels(engine);
    }

    /** Returns how many engines hold all models; {@link Integer#MAX_VALUE} if a model fits on none. */
    private static int enginesForAllModels(EngineDefinition engine) {
        List<Double> sizesMb = new ArrayList<>();
        engine.models().values().forEach(model -> sizesMb.add(model.sizeMb()));
        sizesMb.sort(Collections.reverseOrder());
        int engines = 0;
        double freeMb = 0;
        for (double sizeMb : sizesMb) {
            if (sizeMb > engine.modelMemoryMb()) {
                return Integer.MAX_VALUE;
            }
            if (sizeMb > freeMb) {
                engines++;
                freeMb = engine.modelMemoryMb();
            }
            freeMb -= sizeMb;
        }
        return engines;
    }

    /** Returns whether engines report their copies and the models do not all fit into the engines. */
    boolean applies(PlanningRound round) {
        boolean reported = false;
        int engines = 0;
        for (EngineReplicaTracker tracker : round.trackers()) {
            reported |= tracker.reportsLocalWeights();
            engines += tracker.leaving() ? 0 : 1;
        }
        return reported && engines < enginesForAllModels;
    }

    /**
     * Continues with an engine on which evictions make room for a fetch, or gives the fetch up if calls need the engine
     * or the store.
     *
     * @param awaited the models that calls wait for and that have to be loaded
     * @return whether the engine's pending model is a fetch of this planner
     */
    boolean continueFetch(EngineReplicaTracker tracker, Set<ModelName> awaited, PlanningRound round) {
        PendingFetch fetch = pending.remove(tracker.id());
        if (fetch == null || !tracker.pendingModel().equals(Optional.of(fetch.model()))) {
            return false;
        }
        boolean storeNeeded = demand.anyArrivals(round.nowMs())
                && !round.leavesStoreFree(round.runningRemoteLoads() - 1 + awaitedFromStore(awaited, round));
        if (storeNeeded || DiskCopyTargets.isNeededFor(awaited, tracker)) {
            tracker.pendingModel(Optional.empty());
            return true;
        }
        order(tracker, fetch, round);
        return true;
    }

    /**
     * Orders the fetches that may start now.
     *
     * @param awaited the models that calls wait for and that have to be loaded
     */
    void orderFetches(Set<ModelName> awaited, PlanningRound round) {
        int awaitedFromStore = awaitedFromStore(awaited, round);
        if (!mayFetch(awaitedFromStore, round)) {
            return;
        }
        evictions.forgetCosts();
        CopyIndex copies = new CopyIndex(round.trackers());
        List<ModelDefinition> absent = absent(copies, round);
        List<ModelDefinition> candidates = absent.isEmpty() ? onOneDisk(copies, round) : absent;
        for (ModelDefinition model : candidates) {
            if (!mayFetch(awaitedFromStore, round)) {
                return;
            }
            if (!delaysCalls(model, absent, round) && !awaited.contains(model.name())) {
                fetch(model, reason(model, copies), awaited, copies, round);
            }
        }
    }

    /**
     * Returns whether a fetch takes the only load at full speed, which calls for other models on no disk are more
     * likely to need.
     *
     * <p>A model that is called itself is fetched all the same: it would be awaited soon, and the store would be idle
     * until then.
     */
    private boolean delaysCalls(ModelDefinition model, List<ModelDefinition> absent, PlanningRound round) {
        if (round.loadsAtFullSpeed() > 1 || isUsed(model, round)) {
            return false;
        }
        return callsPerSecond(absent, round) * model.remoteLoadMs() / MS_PER_S > MAX_DELAYED_CALLS;
    }

    private boolean isUsed(ModelDefinition model, PlanningRound round) {
        return demand.callsPerSecond(model.name(), round.nowMs()) >= CopyEvictionChooser.MIN_CALLS_PER_S;
    }

    private boolean mayFetch(int awaitedFromStore, PlanningRound round) {
        if (!round.mayLoadRemotely()) {
            return false;
        }
        // Before the first call nobody waits for the store.
        return !demand.anyArrivals(round.nowMs())
                || round.leavesStoreFree(round.runningRemoteLoads() + awaitedFromStore);
    }

    private void fetch(
            ModelDefinition model, CopyReason reason, Set<ModelName> awaited, CopyIndex copies, PlanningRound round) {
        EngineReplicaTracker target = targets.choose(model, awaited, copies, round);
        if (target != null) {
            order(target, new PendingFetch(model.name(), reason), round);
        }
    }

    private void order(EngineReplicaTracker target, PendingFetch fetch, PlanningRound round) {
        int ordered = round.orders().size();
        round.orderLoadOrEviction(
                target, fetch.model(), () -> evictions.nextEviction(target, round.trackers(), round.nowMs()));
        if (target.pendingModel().equals(Optional.of(fetch.model()))) {
            pending.put(target.id(), fetch);
        }
        if (round.orders().size() > ordered) {
            evictions.forgetCosts();
            listener.onCopyOrder(round.orders().get(ordered), fetch.model(), fetch.reason());
        }
    }

    /** Returns the models that no engine has and that an engine could hold, by what their callers lose. */
    private List<ModelDefinition> absent(CopyIndex copies, PlanningRound round) {
        List<ModelDefinition> absent = new ArrayList<>();
        for (ModelDefinition model : engine.models().values()) {
            boolean fits = model.sizeMb() <= engine.modelMemoryMb();
            if (fits && copies.copies(model.name()) == 0 && !round.loadOrdered(model.name())) {
                absent.add(model);
            }
        }
        sortByLoss(absent, round.nowMs());
        return absent;
    }

    /** Returns the models that one engine has and whose callers cannot wait for the store, by what they would lose. */
    private List<ModelDefinition> onOneDisk(CopyIndex copies, PlanningRound round) {
        List<ModelDefinition> single = new ArrayList<>();
        if (round.loadsAtFullSpeed() == 1) {
            return single;
        }
        for (ModelDefinition model : engine.models().values()) {
            boolean oneCopy = copies.copies(model.name()) == 1 && !round.loadOrdered(model.name());
            if (oneCopy && isUsed(model, round) && lateCallsPerFetch(model, round.nowMs()) > 0) {
                single.add(model);
            }
        }
        sortByLoss(single, round.nowMs());
        return single;
    }

    /** Sorts the models with the most late calls first, and among equals the busiest. */
    private void sortByLoss(List<ModelDefinition> models, long nowMs) {
        models.sort(Comparator.comparingDouble((ModelDefinition model) -> -lateCallsPerFetch(model, nowMs))
                .thenComparingDouble(model -> -demand.callsPerSecond(model.name(), nowMs)));
    }

    /**
     * Returns how many calls would be late if the model were fetched only when it is called: those that arrive longer
     * than their latency target before the fetch ends.
     */
    private double lateCallsPerFetch(ModelDefinition model, long nowMs) {
        long lateMs =
                model.remoteLoadMs() - Math.min(model.remoteLoadMs(), demand.minLatencyTargetMs(model.name(), nowMs));
        return demand.callsPerSecond(model.name(), nowMs) * lateMs / MS_PER_S;
    }

    private static CopyReason reason(ModelDefinition model, CopyIndex copies) {
        if (copies.copies(model.name()) > 0) {
            return CopyReason.SECOND_COPY;
        }
        return copies.isOnLeavingEngine(model.name()) ? CopyReason.LAST_COPY_LEAVING : CopyReason.ON_NO_DISK;
    }

    private double callsPerSecond(List<ModelDefinition> models, PlanningRound round) {
        double callsPerS = 0;
        for (ModelDefinition model : models) {
            callsPerS += demand.callsPerSecond(model.name(), round.nowMs());
        }
        return callsPerS;
    }

    /** Returns how many of the awaited models can only be loaded from the weight store. */
    private int awaitedFromStore(Set<ModelName> awaited, PlanningRound round) {
        int fromStore = 0;
        for (ModelName model : awaited) {
            boolean fits = engine.models().get(model).sizeMb() <= engine.modelMemoryMb();
            boolean local =
                    round.trackers().stream().anyMatch(tracker -> tracker.usable() && tracker.hasLocalWeights(model));
            fromStore += fits && !local ? 1 : 0;
        }
        return fromStore;
    }
}

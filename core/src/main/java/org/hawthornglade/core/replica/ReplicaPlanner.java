package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Plans the next orders to the engines of one service.
 *
 * <p>First come the adapters that calls wait for, then further replicas of models whose engines are too busy or whose
 * adapters find no slot, then the models that calls wait for: those that can be ready in time, the most urgent first,
 * then the others, the busiest first. The remaining capacity goes to spare replicas, and to models that no engine holds
 * yet, so that the first call for one of these waits for a short load only.
 */
public final class ReplicaPlanner {
    /** The approximate time of an unload of a model that runs no calls. */
    private static final long UNLOAD_MS = 20;

    private final EngineDefinition engine;
    private final EntryDemandAggregator demand;
    private final LoadPacer pacer;
    private final AdapterPlanner adapters;
    private final EvictionChooser evictions;
    private final TargetEngineChooser targets;
    private final ProactiveLoadPlanner proactiveLoads;
    private final RemoteLoadMonitor remoteLoads;
    private final DiskCopyPlanner diskCopies;
    private final boolean plansDiskCopies;
    private final Map<AdapterWait, Integer> adapterWaits = new EnumMap<>(AdapterWait.class);

    /** Creates a planner that plans copies on disks. */
    ReplicaPlanner(
            EngineDefinition engine, EntryDemandAggregator demand, LoadPacer pacer, RemoteLoadListener listener) {
        this(engine, demand, pacer, listener, true);
    }

    /**
     * Creates a planner for one version of the engine definition of a service.
     *
     * @param plansDiskCopies whether copies on disks are planned where that applies
     */
    public ReplicaPlanner(
            EngineDefinition engine,
            EntryDemandAggregator demand,
            LoadPacer pacer,
            RemoteLoadListener listener,
            boolean plansDiskCopies) {
        this.plansDiskCopies = plansDiskCopies;
        this.engine = engine;
        this.demand = demand;
        this.pacer = pacer;
        this.adapters = new AdapterPlanner(engine, demand);
        ReplicaCountEstimator replicaCounts = new ReplicaCountEstimator(demand);
        this.evictions = new EvictionChooser(engine, demand, replicaCounts);
        this.targets = new TargetEngineChooser(demand, evictions);
        this.proactiveLoads = new ProactiveLoadPlanner(engine, demand, adapters, evictions, targets, replicaCounts);
        this.remoteLoads = new RemoteLoadMonitor(pacer, listener);
        this.diskCopies = new DiskCopyPlanner(engine, demand, evictions, targets, listener);
    }

    /**
     * Returns the orders to send now, at most one for each engine. The caller reports each to {@link
     * EngineReplicaTracker#onOrderSent} before it plans again.
     */
    public List<ReplicaOrder> plan(Collection<EngineReplicaTracker> trackers, long nowMs) {
        remoteLoads.observe(trackers, nowMs);
        PlanningRound round = new PlanningRound(engine, pacer, evictions, trackers, nowMs);
        List<VariantDemand> waiting = waitingByPriority(trackers, nowMs);
        boolean planCopies = plansDiskCopies && diskCopies.applies(round);
        continuePendingModels(planCopies ? missing(waiting, round) : Set.of(), round);
        orderAdapters(waiting, round);
        proactiveLoads.addRequiredReplicas(round);
        proactiveLoads.addReplicasForAdapters(waiting, round);
        for (VariantDemand each : waiting) {
            ModelName model = each.variant().model();
            if (!round.loadOrdered(model) && needsLoad(model, trackers, nowMs)) {
                orderOnSoonestEngine(model, round);
            }
        }
        proactiveLoads.addSecondReplicas(round);
        if (planCopies) {
            diskCopies.orderFetches(missing(waiting, round), round);
        } else {
            proactiveLoads.preloadAbsentModels(round);
        }
        return round.orders();
    }

    private void orderAdapters(List<VariantDemand> waiting, PlanningRound round) {
        adapterWaits.clear();
        for (VariantDemand each : adapters.inTurn(waiting)) {
            AdapterPlanner.Step step = adapters.nextStep(each, round.trackers(), round.occupied(), round.nowMs());
            adapterWaits.merge(step.state(), 1, Integer::sum);
            step.order().ifPresent(round::add);
        }
    }

    /** Returns what the adapters that calls wait for were waiting for in the last round, with how many of them. */
    public Map<AdapterWait, Integer> adapterWaits() {
        return Collections.unmodifiableMap(adapterWaits);
    }

    /** Returns the expected duration of an order that is about to be sent. */
    public OrderDuration expectedDuration(
            EngineReplicaTracker tracker, ReplicaOrder order, Collection<EngineReplicaTracker> trackers, long nowMs) {
        ModelDefinition model = engine.models().get(order.model());
        if (order.adapter().isPresent()) {
            return OrderDuration.of(0);
        }
        if (order.action() == OrderAction.UNLOAD || model == null) {
            return OrderDuration.of(UNLOAD_MS);
        }
        long nominalMs = tracker.loadMs(model);
        if (tracker.hasLocalWeights(order.model())) {
            return OrderDuration.of(nominalMs);
        }
        int running = RemoteLoadMonitor.running(trackers, nowMs) + 1;
        return new OrderDuration(nominalMs, pacer.expectedMs(nominalMs, running, trackers.size(), nowMs));
    }

    /** Returns when the models that calls wait for will be ready, by instance, without those that are loading now. */
    public Map<InstanceId, Map<ModelName, Long>> forecast(Collection<EngineReplicaTracker> trackers, long nowMs) {
        List<ModelName> missing = new ArrayList<>();
        for (VariantDemand each : waitingByPriority(trackers, nowMs)) {
            ModelName model = each.variant().model();
            if (needsLoad(model, trackers, nowMs) && !missing.contains(model)) {
                missing.add(model);
            }
        }
        return new LoadForecast(engine, trackers, pacer.concurrencyLimit(trackers.size(), nowMs), nowMs)
                .forecast(missing);
    }

    /**
     * Returns the waiting demand: first what a load can still serve on time, then the rest, the busiest models first.
     */
    private List<VariantDemand> waitingByPriority(Collection<EngineReplicaTracker> trackers, long nowMs) {
        List<VariantDemand> waiting = demand.waiting(nowMs);
        // The sort is stable: the most urgent stay first among those that can be on time and among equally busy models.
        waiting.sort(Comparator.comparingDouble(
                each -> canBeOnTime(each, trackers) ? Double.NEGATIVE_INFINITY : -callsPerSecond(each, nowMs)));
        return waiting;
    }

    private double callsPerSecond(VariantDemand each, long nowMs) {
        return demand.callsPerSecond(each.variant().model(), nowMs);
    }

    private boolean canBeOnTime(VariantDemand waiting, Collection<EngineReplicaTracker> trackers) {
        ModelDefinition model = engine.models().get(waiting.variant().model());
        long fastestLoadMs = Long.MAX_VALUE;
        for (EngineReplicaTracker tracker : trackers) {
            if (model != null && tracker.usable()) {
                fastestLoadMs = Math.min(fastestLoadMs, tracker.loadMs(model));
            }
        }
        return waiting.slackMs() >= fastestLoadMs;
    }

    /** Returns the models that calls wait for, that need a load, and whose load was not ordered in this round. */
    private Set<ModelName> missing(List<VariantDemand> waiting, PlanningRound round) {
        Set<ModelName> missing = new HashSet<>();
        for (VariantDemand each : waiting) {
            ModelName model = each.variant().model();
            if (!round.loadOrdered(model) && needsLoad(model, round.trackers(), round.nowMs())) {
                missing.add(model);
            }
        }
        return missing;
    }

    /** Continues with the engines on which evictions make room for a model. */
    private void continuePendingModels(Set<ModelName> awaited, PlanningRound round) {
        for (EngineReplicaTracker tracker : round.trackers()) {
            boolean makesRoom = tracker.pendingModel().isPresent() && tracker.acceptsModelOrder();
            if (makesRoom && !diskCopies.continueFetch(tracker, awaited, round)) {
                round.orderLoadOrEviction(tracker, tracker.pendingModel().get());
            }
        }
    }

    /** Returns whether a model that calls wait for is neither on an engine nor about to be loaded on one. */
    private boolean needsLoad(ModelName model, Collection<EngineReplicaTracker> trackers, long nowMs) {
        if (!engine.models().containsKey(model)) {
            return false;
        }
        boolean localElsewhere = false;
        boolean loadingFromStore = false;
        for (EngineReplicaTracker tracker : trackers) {
            boolean incoming = tracker.usable() && tracker.incomingModel().equals(Optional.of(model));
            boolean offered = tracker.offers(model, nowMs);
            if (incoming || (offered && !tracker.isLoadingRemotely(model))) {
                return false;
            }
            loadingFromStore |= offered;
            localElsewhere |= tracker.acceptsModelOrder() && tracker.hasLocalWeights(model);
        }
        // A load from the store takes so long that local weights on another engine are loaded meanwhile.
        return !loadingFromStore || localElsewhere;
    }

    private void orderOnSoonestEngine(ModelName model, PlanningRound round) {
        ModelDefinition definition = engine.models().get(model);
        EngineReplicaTracker best = targets.soonest(definition, round);
        // If a busy engine will have the model sooner than any free one, the load waits for it.
        if (best == null || round.occupied().contains(best) || !best.acceptsModelOrder()) {
            return;
        }
        if (best.hasLocalWeights(model) || !round.isLoadingFromStore(model)) {
            round.orderLoadOrEviction(best, model);
        }
    }
}

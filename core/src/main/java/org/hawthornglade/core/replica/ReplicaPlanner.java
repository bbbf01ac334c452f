package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Decides the next orders to the engines of one service.
 *
 * <p>First come the adapters that calls wait for, then copies of models whose engines are too busy or whose
 * adapters find no place, then the models that calls wait for: those that can be ready in time, the most urgent first,
 * then the others, the busiest first. What capacity is left goes to spare copies, and to models that are nowhere yet,
 * so that the first call for one of these waits for a short load only.
 */
public final class ReplicaPlanner {
    /** An unload of a model that nobody uses takes about this long. */
    private static final long UNLOAD_MS = 20;

    private final EngineDefinition engine;
    private final DemandTracker demand;
    private final LoadPacer pacer;
    private final AdapterPlanner adapters;
    private final EvictionChooser evictions;
    private final TargetEngineChooser targets;
    private final AdditionalReplicaPlanner additionalReplicas;
    private final RemoteLoadMonitor remoteLoads;

    /** Creates a planner for one version of a service's engines. */
    public ReplicaPlanner(EngineDefinition engine, DemandTracker demand, LoadPacer pacer, RemoteLoadListener listener) {
        this.engine = engine;
        this.demand = demand;
        this.pacer = pacer;
        this.adapters = new AdapterPlanner(engine, demand);
        ReplicaCountEstimator need = new ReplicaCountEstimator(demand);
        this.evictions = new EvictionChooser(engine, demand, need);
        this.targets = new TargetEngineChooser(demand, evictions);
        this.additionalReplicas = new AdditionalReplicaPlanner(engine, demand, adapters, evictions, targets, need);
        this.remoteLoads = new RemoteLoadMonitor(pacer, listener);
    }

    /**
     * Returns the orders to send now, at most one for each engine. The caller notes each with {@link EngineReplicaTracker#onOrderSent}
     * before it asks again.
     */
    public List<ReplicaOrder> plan(Collection<EngineReplicaTracker> books, long nowMs) {
        remoteLoads.observe(books, nowMs);
        PlanningRound round = new PlanningRound(engine, pacer, evictions, books, nowMs);
        List<VariantDemand> waiting = waitingByPriority(books, nowMs);
        continuePendingModels(round);
        for (VariantDemand each : waiting) {
            if (each.variant().adapter().isPresent()) {
                adapters.nextOrder(each.variant(), books, round.occupied(), nowMs).ifPresent(round::add);
            }
        }
        additionalReplicas.addRequiredReplicas(round);
        additionalReplicas.addReplicasForAdapters(waiting, round);
        for (VariantDemand each : waiting) {
            ModelName model = each.variant().model();
            if (!round.loadOrdered(model) && needsLoad(model, books, nowMs)) {
                orderOnSoonestEngine(model, round);
            }
        }
        additionalReplicas.addSecondReplicas(round);
        additionalReplicas.preloadAbsentModels(round);
        return round.orders();
    }

    /** Returns how long an order takes that is about to be sent. */
    public OrderDuration expectedDuration(EngineReplicaTracker book, ReplicaOrder order, Collection<EngineReplicaTracker> books, long nowMs) {
        ModelDefinition model = engine.models().get(order.model());
        if (order.adapter().isPresent()) {
            return OrderDuration.of(0);
        }
        if (order.action() == OrderAction.UNLOAD || model == null) {
            return OrderDuration.of(UNLOAD_MS);
        }
        long nominalMs = book.loadMs(model);
        if (book.hasLocalWeights(order.model())) {
            return OrderDuration.of(nominalMs);
        }
        int running = RemoteLoadMonitor.running(books, nowMs) + 1;
        return new OrderDuration(nominalMs, pacer.expectedMs(nominalMs, running, books.size(), nowMs));
    }

    /** Returns when the models that calls wait for will be ready, by instance; those that are loading now left out. */
    public Map<InstanceId, Map<ModelName, Long>> forecast(Collection<EngineReplicaTracker> books, long nowMs) {
        List<ModelName> missing = new ArrayList<>();
        for (VariantDemand each : waitingByPriority(books, nowMs)) {
            ModelName model = each.variant().model();
            if (needsLoad(model, books, nowMs) && !missing.contains(model)) {
                missing.add(model);
            }
        }
        return new LoadForecast(engine, books, pacer.concurrencyLimit(books.size(), nowMs), nowMs).forecast(missing);
    }

    /** Returns the waiting demand: first what a load can still serve on time, then what is late, busy models first. */
    private List<VariantDemand> waitingByPriority(Collection<EngineReplicaTracker> books, long nowMs) {
        List<VariantDemand> waiting = demand.waiting(nowMs);
        // The sort is stable: the most urgent stay first among what can be on time, and among equally busy models.
        waiting.sort(Comparator.comparingDouble(
                each -> canBeOnTime(each, books) ? Double.NEGATIVE_INFINITY : -callsPerSecond(each, nowMs)));
        return waiting;
    }

    private double callsPerSecond(VariantDemand each, long nowMs) {
        return demand.callsPerSecond(each.variant().model(), nowMs);
    }

    private boolean canBeOnTime(VariantDemand waiting, Collection<EngineReplicaTracker> books) {
        ModelDefinition model = engine.models().get(waiting.variant().model());
        long quickestMs = Long.MAX_VALUE;
        for (EngineReplicaTracker book : books) {
            if (model != null && book.usable()) {
                quickestMs = Math.min(quickestMs, book.loadMs(model));
            }
        }
        return waiting.slackMs() >= quickestMs;
    }

    /** Goes on with engines on which room is being made for a model. */
    private static void continuePendingModels(PlanningRound round) {
        for (EngineReplicaTracker book : round.books()) {
            if (book.pendingModel().isPresent() && book.acceptsModelOrder()) {
                round.orderLoadOrEviction(book, book.pendingModel().get());
            }
        }
    }

    /** Returns whether a model that calls wait for is on no engine and on no way to one. */
    private boolean needsLoad(ModelName model, Collection<EngineReplicaTracker> books, long nowMs) {
        if (!engine.models().containsKey(model)) {
            return false;
        }
        boolean atHandSomewhere = false;
        boolean comesFromStore = false;
        for (EngineReplicaTracker book : books) {
            boolean coming = book.usable() && book.incomingModel().equals(Optional.of(model));
            boolean offered = book.offers(model, nowMs);
            if (coming || (offered && !book.isLoadingRemotely(model))) {
                return false;
            }
            comesFromStore |= offered;
            atHandSomewhere |= book.acceptsModelOrder() && book.hasLocalWeights(model);
        }
        // A load from the store takes so long that a copy at hand elsewhere is loaded meanwhile.
        return !comesFromStore || atHandSomewhere;
    }

    private void orderOnSoonestEngine(ModelName model, PlanningRound round) {
        ModelDefinition definition = engine.models().get(model);
        EngineReplicaTracker best = targets.soonest(definition, round);
        // A busy engine that will have the model sooner than any free one is waited for.
        if (best == null || round.occupied().contains(best) || !best.acceptsModelOrder()) {
            return;
        }
        if (best.hasLocalWeights(model) || !round.isLoadingFromStore(model)) {
            round.orderLoadOrEviction(best, model);
        }
    }
}

package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
 * Decides the next orders to the engines of one service.
 *
 * <p>First come the adapters and models that calls wait for: those that can be ready in time, the most urgent
 * first, then the others, the busiest first. What capacity is left brings a
 * copy of each model that is nowhere yet to some engine's disk, so that the first call for it waits for a short load
 * only.
 */
public final class ReplicaPlanner {
    /** A model with this many calls a second gets a second copy, if its callers cannot wait for a load. */
    private static final double COPY_CALLS_PER_S = 0.5;

    private final EngineDefinition engine;
    private final DemandBook demand;
    private final LoadPacer pacer;
    private final AdapterPlanner adapters;
    private final VictimChooser victims;
    private final HostChooser hosts;
    private final Set<ModelName> begunNow = new HashSet<>();
    private int begunRemotely;

    /** Creates a planner for one version of a service's engines. */
    public ReplicaPlanner(EngineDefinition engine, DemandBook demand, LoadPacer pacer) {
        this.engine = engine;
        this.demand = demand;
        this.pacer = pacer;
        this.adapters = new AdapterPlanner(engine, demand);
        this.victims = new VictimChooser(engine, demand);
        this.hosts = new HostChooser(demand, victims);
    }

    /**
     * Returns the orders to send now, at most one for each engine. The caller notes each with {@link EngineBook#onSent}
     * before it asks again.
     */
    public List<ReplicaOrder> plan(Collection<EngineBook> books, long nowMs) {
        List<ReplicaOrder> orders = new ArrayList<>();
        Set<EngineBook> taken = new HashSet<>();
        List<VariantDemand> waiting = byOrder(books, nowMs);
        continueGoals(books, taken, orders, nowMs);
        for (VariantDemand each : waiting) {
            if (each.variant().adapter().isPresent()) {
                adapters.order(each.variant(), books, taken, nowMs)
                        .ifPresent(order -> add(order, books, taken, orders));
            }
        }
        for (VariantDemand each : waiting) {
            if (wanted(each.variant().model(), books, nowMs)) {
                bring(each.variant().model(), books, taken, orders, nowMs);
            }
        }
        addCopies(books, taken, orders, nowMs);
        addPlacesForAdapters(waiting, books, taken, orders, nowMs);
        spread(books, taken, orders, nowMs);
        begunNow.clear();
        begunRemotely = 0;
        return orders;
    }

    /** Returns when the models that calls wait for will be ready, by instance; those that are loading now left out. */
    public Map<InstanceId, Map<ModelName, Long>> forecast(Collection<EngineBook> books, long nowMs) {
        List<ModelName> missing = new ArrayList<>();
        for (VariantDemand each : byOrder(books, nowMs)) {
            ModelName model = each.variant().model();
            if (wanted(model, books, nowMs) && !missing.contains(model)) {
                missing.add(model);
            }
        }
        return new LoadForecast(engine, books, nowMs).of(missing);
    }

    /** Returns the waiting demand: first what a load can still serve on time, then what is late, busy models first. */
    private List<VariantDemand> byOrder(Collection<EngineBook> books, long nowMs) {
        List<VariantDemand> waiting = demand.waiting(nowMs);
        // The sort is stable: the most urgent stay first among what can be on time, and among equally busy models.
        waiting.sort(Comparator.comparingDouble(
                each -> canBeOnTime(each, books) ? Double.NEGATIVE_INFINITY : -callsPerSecond(each, nowMs)));
        return waiting;
    }

    private double callsPerSecond(VariantDemand each, long nowMs) {
        return demand.callsPerSecond(each.variant().model(), nowMs);
    }

    private boolean canBeOnTime(VariantDemand waiting, Collection<EngineBook> books) {
        ModelDefinition model = engine.models().get(waiting.variant().model());
        long quickestMs = Long.MAX_VALUE;
        for (EngineBook book : books) {
            if (model != null && book.trusted()) {
                quickestMs = Math.min(quickestMs, book.loadMs(model));
            }
        }
        return waiting.slackMs() >= quickestMs;
    }

    private static void add(
            ReplicaOrder order, Collection<EngineBook> books, Set<EngineBook> taken, List<ReplicaOrder> orders) {
        orders.add(order);
        for (EngineBook book : books) {
            if (book.id().equals(order.instance())) {
                taken.add(book);
            }
        }
    }

    /** Goes on with engines on which room is being made for a model. */
    private void continueGoals(
            Collection<EngineBook> books, Set<EngineBook> taken, List<ReplicaOrder> orders, long nowMs) {
        for (EngineBook book : books) {
            if (book.goal().isPresent() && book.takesModelOrder()) {
                step(book, book.goal().get(), books, taken, orders, nowMs);
            }
        }
    }

    /** Returns whether a model that calls wait for is on no engine and on no way to one. */
    private boolean wanted(ModelName model, Collection<EngineBook> books, long nowMs) {
        if (!engine.models().containsKey(model) || begunNow.contains(model)) {
            return false;
        }
        for (EngineBook book : books) {
            boolean coming = book.trusted() && book.coming().equals(Optional.of(model));
            if (coming || book.offers(model, nowMs)) {
                return false;
            }
        }
        return true;
    }

    private void bring(
            ModelName model,
            Collection<EngineBook> books,
            Set<EngineBook> taken,
            List<ReplicaOrder> orders,
            long nowMs) {
        ModelDefinition definition = engine.models().get(model);
        EngineBook best = hosts.soonest(definition, books, mayLoadRemotely(books, nowMs), nowMs);
        // A busy engine that will have the model sooner than any free one is waited for.
        if (best != null && !taken.contains(best) && best.takesModelOrder()) {
            step(best, model, books, taken, orders, nowMs);
        }
    }

    /** Orders the load, or the next unload that makes room for it. */
    private void step(
            EngineBook book,
            ModelName model,
            Collection<EngineBook> books,
            Set<EngineBook> taken,
            List<ReplicaOrder> orders,
            long nowMs) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null || book.holds(model)) {
            book.goal(Optional.empty());
            return;
        }
        if (book.usedMb(engine) + definition.sizeMb() <= engine.modelMemoryMb()) {
            load(book, definition, books, taken, orders, nowMs);
            return;
        }
        Optional<ModelName> victim = victims.next(book, books, nowMs);
        if (victim.isEmpty()) {
            book.goal(Optional.empty());
            return;
        }
        book.goal(Optional.of(model));
        taken.add(book);
        orders.add(new ReplicaOrder(book.id(), OrderAction.UNLOAD, victim.get(), Optional.empty(), book.version()));
    }

    private void load(
            EngineBook book,
            ModelDefinition definition,
            Collection<EngineBook> books,
            Set<EngineBook> taken,
            List<ReplicaOrder> orders,
            long nowMs) {
        if (!book.atHand(definition.name())) {
            if (!mayLoadRemotely(books, nowMs)) {
                return;
            }
            pacer.onBegin(nowMs);
            begunRemotely++;
        }
        begunNow.add(definition.name());
        taken.add(book);
        orders.add(new ReplicaOrder(book.id(), OrderAction.LOAD, definition.name(), Optional.empty(), book.version()));
    }

    private boolean mayLoadRemotely(Collection<EngineBook> books, long nowMs) {
        int running = begunRemotely;
        for (EngineBook book : books) {
            running += book.loadingRemotely(nowMs) ? 1 : 0;
        }
        return pacer.mayBegin(engine.remoteLoadsPerSecond(), running, nowMs);
    }

    /** Gives each model with steady calls that cannot wait for a load a second copy. */
    private void addCopies(Collection<EngineBook> books, Set<EngineBook> taken, List<ReplicaOrder> orders, long nowMs) {
        for (ModelDefinition model : engine.models().values()) {
            boolean single = copies(model.name(), books) == 1 && !begunNow.contains(model.name());
            if (!single || !deservesCopy(model, nowMs)) {
                continue;
            }
            EngineBook host = hosts.cheapestWithWeights(model, books, taken, nowMs);
            if (host != null) {
                step(host, model.name(), books, taken, orders, nowMs);
            }
        }
    }

    /** Gives models whose adapters find no place a further copy, since each engine has places for a few only. */
    private void addPlacesForAdapters(
            List<VariantDemand> waiting,
            Collection<EngineBook> books,
            Set<EngineBook> taken,
            List<ReplicaOrder> orders,
            long nowMs) {
        for (ModelName model : busiestFirst(nowMs)) {
            if (onItsWay(model, books) || !adapters.crowded(model, waiting, books)) {
                continue;
            }
            ModelDefinition definition = engine.models().get(model);
            EngineBook host = hosts.cheapestWithWeights(definition, books, taken, nowMs);
            if (host == null && mayLoadRemotely(books, nowMs)) {
                host = hosts.cheapest(definition, books, taken, nowMs);
            }
            if (host != null) {
                step(host, model, books, taken, orders, nowMs);
            }
        }
    }

    private boolean onItsWay(ModelName model, Collection<EngineBook> books) {
        for (EngineBook book : books) {
            boolean coming = book.coming().equals(Optional.of(model));
            if (book.trusted() && (coming || book.loads(model))) {
                return true;
            }
        }
        return begunNow.contains(model);
    }

    private boolean deservesCopy(ModelDefinition model, long nowMs) {
        return demand.callsPerSecond(model.name(), nowMs) >= COPY_CALLS_PER_S && !victims.callersCanWait(model);
    }

    private static int copies(ModelName model, Collection<EngineBook> books) {
        int copies = 0;
        for (EngineBook book : books) {
            boolean here = book.holds(model) || book.coming().equals(Optional.of(model));
            copies += here && book.trusted() ? 1 : 0;
        }
        return copies;
    }

    /** Brings models that are nowhere to an engine that can spare the room. */
    private void spread(Collection<EngineBook> books, Set<EngineBook> taken, List<ReplicaOrder> orders, long nowMs) {
        for (ModelName model : busiestFirst(nowMs)) {
            if (!mayLoadRemotely(books, nowMs)) {
                return;
            }
            if (begunNow.contains(model) || somewhere(model, books)) {
                continue;
            }
            EngineBook host = hosts.cheapest(engine.models().get(model), books, taken, nowMs);
            if (host == null) {
                return;
            }
            step(host, model, books, taken, orders, nowMs);
        }
    }

    private List<ModelName> busiestFirst(long nowMs) {
        List<ModelName> models = new ArrayList<>(engine.models().keySet());
        models.sort(Comparator.comparingDouble(model -> -demand.callsPerSecond(model, nowMs)));
        return models;
    }

    private static boolean somewhere(ModelName model, Collection<EngineBook> books) {
        for (EngineBook book : books) {
            boolean here =
                    book.holds(model) || book.atHand(model) || book.coming().equals(Optional.of(model));
            if (here && !book.listed().leaving()) {
                return true;
            }
        }
        return false;
    }
}

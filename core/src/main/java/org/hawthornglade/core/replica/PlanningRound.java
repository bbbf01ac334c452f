package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** The orders of one round of planning, at most one for each engine, and what they already take up. */
final class PlanningRound {
    /**
     * The share of the engines that may load from the weight store at once. Such an engine takes no other order for
     * many seconds, not even a short load from its own disk.
     */
    private static final double MAX_REMOTE_LOADING_SHARE = 0.4;

    private final EngineDefinition engine;
    private final LoadPacer pacer;
    private final EvictionChooser evictions;
    private final Collection<EngineReplicaTracker> books;
    private final long nowMs;
    private final List<ReplicaOrder> orders = new ArrayList<>();
    private final Set<EngineReplicaTracker> occupied = new HashSet<>();
    private final Set<ModelName> orderedLoads = new HashSet<>();
    private final Set<EngineReplicaTracker> remoteLoadsOrderedAt = new HashSet<>();

    PlanningRound(
            EngineDefinition engine, LoadPacer pacer, EvictionChooser victims, Collection<EngineReplicaTracker> books, long nowMs) {
        this.engine = engine;
        this.pacer = pacer;
        this.evictions = victims;
        this.books = books;
        this.nowMs = nowMs;
    }

    Collection<EngineReplicaTracker> books() {
        return books;
    }

    long nowMs() {
        return nowMs;
    }

    List<ReplicaOrder> orders() {
        return orders;
    }

    /** Returns the engines that have an order in this round. */
    Set<EngineReplicaTracker> occupied() {
        return occupied;
    }

    /** Returns whether the load of a model was ordered in this round. */
    boolean loadOrdered(ModelName model) {
        return orderedLoads.contains(model);
    }

    /** Returns whether a model is being loaded from the weight store. */
    boolean isLoadingFromStore(ModelName model) {
        for (EngineReplicaTracker book : books) {
            if (book.offers(model, nowMs) && book.isLoadingRemotely(model)) {
                return true;
            }
        }
        return false;
    }

    /** Adds an order that needs no further decision. */
    void add(ReplicaOrder order) {
        orders.add(order);
        for (EngineReplicaTracker book : books) {
            if (book.id().equals(order.instance())) {
                occupied.add(book);
            }
        }
    }

    /** Orders the load of a model, or the next unload that makes room for it. */
    void orderLoadOrEviction(EngineReplicaTracker book, ModelName model) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null || book.holds(model)) {
            book.pendingModel(Optional.empty());
            return;
        }
        if (book.usedMb(engine) + definition.sizeMb() <= engine.modelMemoryMb()) {
            orderLoad(book, definition);
            return;
        }
        boolean begins = !book.pendingModel().equals(Optional.of(model));
        if (begins && !book.hasLocalWeights(model) && !leavesEnoughFreeEngines(book)) {
            return;
        }
        Optional<ModelName> victim = evictions.nextEviction(book, books, nowMs);
        if (victim.isEmpty()) {
            book.pendingModel(Optional.empty());
            return;
        }
        book.pendingModel(Optional.of(model));
        book.markUnloading(victim.get(), nowMs);
        occupied.add(book);
        orders.add(new ReplicaOrder(book.id(), OrderAction.UNLOAD, victim.get(), Optional.empty(), book.version()));
    }

    /** Returns whether enough engines stay free for short loads when this one begins a long one. */
    private boolean leavesEnoughFreeEngines(EngineReplicaTracker candidate) {
        if (candidate.hasNoLocalWeights()) {
            return true;
        }
        int able = 0;
        int busy = 0;
        for (EngineReplicaTracker book : books) {
            if (book.hasNoLocalWeights()) {
                continue;
            }
            able++;
            busy += book != candidate && countsAsRemoteLoad(book) ? 1 : 0;
        }
        return busy < Math.max(1, MAX_REMOTE_LOADING_SHARE * able);
    }

    private boolean countsAsRemoteLoad(EngineReplicaTracker book) {
        boolean makesRoom = book.pendingModel().isPresent() && !book.hasLocalWeights(book.pendingModel().get());
        return makesRoom || book.hasRemoteLoad(nowMs) || remoteLoadsOrderedAt.contains(book);
    }

    private void orderLoad(EngineReplicaTracker book, ModelDefinition definition) {
        if (!book.hasLocalWeights(definition.name())) {
            int itself = book.pendingModel().equals(Optional.of(definition.name())) ? 1 : 0;
            if (!pacer.mayStart(engine.remoteLoadsPerSecond(), runningRemoteLoads() - itself, books.size(), nowMs)
                    || !leavesEnoughFreeEngines(book)) {
                return;
            }
            pacer.onStart(nowMs);
            remoteLoadsOrderedAt.add(book);
        }
        orderedLoads.add(definition.name());
        occupied.add(book);
        orders.add(new ReplicaOrder(book.id(), OrderAction.LOAD, definition.name(), Optional.empty(), book.version()));
    }

    /** Returns whether one more load from the weight store may begin now. */
    boolean mayLoadRemotely() {
        return pacer.mayStart(engine.remoteLoadsPerSecond(), runningRemoteLoads(), books.size(), nowMs);
    }

    /** Returns whether one more load may begin that no call waits for, so that there is room for others. */
    boolean mayPreloadRemotely() {
        return pacer.mayStartPreload(engine.remoteLoadsPerSecond(), runningRemoteLoads(), books.size(), nowMs);
    }

    /** A load for which room is being made counts: it begins as soon as there is room. */
    private int runningRemoteLoads() {
        int running = 0;
        for (EngineReplicaTracker book : books) {
            running += countsAsRemoteLoad(book) ? 1 : 0;
        }
        return running;
    }
}

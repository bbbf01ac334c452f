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
final class PlanRound {
    private final EngineDefinition engine;
    private final LoadPacer pacer;
    private final VictimChooser victims;
    private final Collection<EngineBook> books;
    private final long nowMs;
    private final List<ReplicaOrder> orders = new ArrayList<>();
    private final Set<EngineBook> taken = new HashSet<>();
    private final Set<ModelName> begun = new HashSet<>();
    private int begunRemotely;

    PlanRound(
            EngineDefinition engine, LoadPacer pacer, VictimChooser victims, Collection<EngineBook> books, long nowMs) {
        this.engine = engine;
        this.pacer = pacer;
        this.victims = victims;
        this.books = books;
        this.nowMs = nowMs;
    }

    Collection<EngineBook> books() {
        return books;
    }

    long nowMs() {
        return nowMs;
    }

    List<ReplicaOrder> orders() {
        return orders;
    }

    /** Returns the engines that have an order in this round. */
    Set<EngineBook> taken() {
        return taken;
    }

    /** Returns whether the load of a model was ordered in this round. */
    boolean begun(ModelName model) {
        return begun.contains(model);
    }

    /** Adds an order that needs no further decision. */
    void add(ReplicaOrder order) {
        orders.add(order);
        for (EngineBook book : books) {
            if (book.id().equals(order.instance())) {
                taken.add(book);
            }
        }
    }

    /** Orders the load of a model, or the next unload that makes room for it. */
    void bring(EngineBook book, ModelName model) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null || book.holds(model)) {
            book.goal(Optional.empty());
            return;
        }
        if (book.usedMb(engine) + definition.sizeMb() <= engine.modelMemoryMb()) {
            load(book, definition);
            return;
        }
        Optional<ModelName> victim = victims.next(book, books, nowMs);
        if (victim.isEmpty()) {
            book.goal(Optional.empty());
            return;
        }
        book.goal(Optional.of(model));
        book.giveUp(victim.get(), nowMs);
        taken.add(book);
        orders.add(new ReplicaOrder(book.id(), OrderAction.UNLOAD, victim.get(), Optional.empty(), book.version()));
    }

    private void load(EngineBook book, ModelDefinition definition) {
        if (!book.atHand(definition.name())) {
            int itself = book.goal().equals(Optional.of(definition.name())) ? 1 : 0;
            if (!pacer.mayBegin(engine.remoteLoadsPerSecond(), runningRemotely() - itself, nowMs)) {
                return;
            }
            pacer.onBegin(nowMs);
            begunRemotely++;
        }
        begun.add(definition.name());
        taken.add(book);
        orders.add(new ReplicaOrder(book.id(), OrderAction.LOAD, definition.name(), Optional.empty(), book.version()));
    }

    /** Returns whether one more load from the weight store may begin now. */
    boolean mayLoadRemotely() {
        return pacer.mayBegin(engine.remoteLoadsPerSecond(), runningRemotely(), nowMs);
    }

    /** Returns whether one more load may begin that no call waits for, so that there is room for others. */
    boolean mayLoadRemotelyInAdvance() {
        return pacer.mayBeginInAdvance(engine.remoteLoadsPerSecond(), runningRemotely(), nowMs);
    }

    /** A load for which room is being made counts: it begins as soon as there is room. */
    private int runningRemotely() {
        int running = begunRemotely;
        for (EngineBook book : books) {
            boolean makesRoom =
                    book.goal().isPresent() && !book.atHand(book.goal().get()) && !begunAt(book);
            running += book.loadingRemotely(nowMs) || makesRoom ? 1 : 0;
        }
        return running;
    }

    private boolean begunAt(EngineBook book) {
        return taken.contains(book) && begun.contains(book.goal().orElseThrow());
    }
}

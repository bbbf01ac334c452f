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
    /**
     * The share of the engines that may load from the weight store at once. Such an engine takes no other order for
     * many seconds, not even a short load from its own disk.
     */
    private static final double LONG_LOAD_SHARE = 0.4;

    private final EngineDefinition engine;
    private final LoadPacer pacer;
    private final VictimChooser victims;
    private final Collection<EngineBook> books;
    private final long nowMs;
    private final List<ReplicaOrder> orders = new ArrayList<>();
    private final Set<EngineBook> taken = new HashSet<>();
    private final Set<ModelName> begun = new HashSet<>();
    private final Set<EngineBook> begunRemotelyAt = new HashSet<>();

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

    /** Returns whether a model is being loaded from the weight store. */
    boolean comesFromStore(ModelName model) {
        for (EngineBook book : books) {
            if (book.offers(model, nowMs) && book.loadsRemotely(model)) {
                return true;
            }
        }
        return false;
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
        boolean begins = !book.goal().equals(Optional.of(model));
        if (begins && !book.atHand(model) && !leavesEnoughEngines(book)) {
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

    /** Returns whether enough engines stay free for short loads when this one begins a long one. */
    private boolean leavesEnoughEngines(EngineBook candidate) {
        if (candidate.hasNothingAtHand()) {
            return true;
        }
        int able = 0;
        int busy = 0;
        for (EngineBook book : books) {
            if (book.hasNothingAtHand()) {
                continue;
            }
            able++;
            busy += book != candidate && loadsRemotely(book) ? 1 : 0;
        }
        return busy < Math.max(1, LONG_LOAD_SHARE * able);
    }

    private boolean loadsRemotely(EngineBook book) {
        boolean makesRoom = book.goal().isPresent() && !book.atHand(book.goal().get());
        return makesRoom || book.loadingRemotely(nowMs) || begunRemotelyAt.contains(book);
    }

    private void load(EngineBook book, ModelDefinition definition) {
        if (!book.atHand(definition.name())) {
            int itself = book.goal().equals(Optional.of(definition.name())) ? 1 : 0;
            if (!pacer.mayBegin(engine.remoteLoadsPerSecond(), runningRemotely() - itself, books.size(), nowMs)
                    || !leavesEnoughEngines(book)) {
                return;
            }
            pacer.onBegin(nowMs);
            begunRemotelyAt.add(book);
        }
        begun.add(definition.name());
        taken.add(book);
        orders.add(new ReplicaOrder(book.id(), OrderAction.LOAD, definition.name(), Optional.empty(), book.version()));
    }

    /** Returns whether one more load from the weight store may begin now. */
    boolean mayLoadRemotely() {
        return pacer.mayBegin(engine.remoteLoadsPerSecond(), runningRemotely(), books.size(), nowMs);
    }

    /** Returns whether one more load may begin that no call waits for, so that there is room for others. */
    boolean mayLoadRemotelyInAdvance() {
        return pacer.mayBeginInAdvance(engine.remoteLoadsPerSecond(), runningRemotely(), books.size(), nowMs);
    }

    /** A load for which room is being made counts: it begins as soon as there is room. */
    private int runningRemotely() {
        int running = 0;
        for (EngineBook book : books) {
            running += loadsRemotely(book) ? 1 : 0;
        }
        return running;
    }
}

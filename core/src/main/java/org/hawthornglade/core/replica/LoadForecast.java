package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Foretells when the models that calls wait for will be ready, and where.
 *
 * <p>Loads are laid one after another on the engine that would end them first. Unloads and places that cannot be freed
 * are not counted, so that a model may come later than foretold but hardly sooner.
 */
final class LoadForecast {
    private final EngineDefinition engine;
    private final Collection<EngineReplicaTracker> books;
    private final long nowMs;
    private final RemoteLoadSlots slots;
    private final Map<EngineReplicaTracker, Long> freeAtMs = new HashMap<>();
    private final Map<InstanceId, Map<ModelName, Long>> readyAtMs = new HashMap<>();

    LoadForecast(EngineDefinition engine, Collection<EngineReplicaTracker> books, int remoteLanes, long nowMs) {
        this.engine = engine;
        this.books = books;
        this.nowMs = nowMs;
        this.slots = new RemoteLoadSlots(books, remoteLanes, nowMs);
    }

    /**
     * Returns when each model will be ready, by instance.
     *
     * @param awaited the models that calls wait for and that are on no engine, in the order in which they are loaded
     */
    Map<InstanceId, Map<ModelName, Long>> forecast(List<ModelName> awaited) {
        for (EngineReplicaTracker book : books) {
            if (book.usable()) {
                freeAtMs.put(book, nowMs + book.freeInMs(nowMs));
                book.incomingModel().ifPresent(model -> schedule(book, model));
            }
        }
        for (ModelName model : awaited) {
            scheduleWhereSoonest(model);
        }
        return readyAtMs;
    }

    private void scheduleWhereSoonest(ModelName model) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return;
        }
        EngineReplicaTracker best = null;
        long bestMs = Long.MAX_VALUE;
        for (EngineReplicaTracker book : freeAtMs.keySet()) {
            long endMs = startMs(book, model) + book.loadMs(definition);
            boolean sooner = endMs < bestMs || (endMs == bestMs && book.id().compareTo(best.id()) < 0);
            if (sooner) {
                best = book;
                bestMs = endMs;
            }
        }
        if (best != null) {
            schedule(best, model);
        }
    }

    private long startMs(EngineReplicaTracker book, ModelName model) {
        return book.hasLocalWeights(model) ? freeAtMs.get(book) : Math.max(freeAtMs.get(book), slots.nextFreeMs());
    }

    private void schedule(EngineReplicaTracker book, ModelName model) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return;
        }
        long endMs = startMs(book, model) + book.loadMs(definition);
        if (!book.hasLocalWeights(model)) {
            slots.occupy(endMs);
        }
        freeAtMs.put(book, endMs);
        readyAtMs.computeIfAbsent(book.id(), id -> new HashMap<>()).put(model, endMs);
    }
}

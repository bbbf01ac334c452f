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
    private final Collection<EngineBook> books;
    private final long nowMs;
    private final RemoteLanes lanes;
    private final Map<EngineBook, Long> freeAtMs = new HashMap<>();
    private final Map<InstanceId, Map<ModelName, Long>> readyAtMs = new HashMap<>();

    LoadForecast(EngineDefinition engine, Collection<EngineBook> books, int remoteLanes, long nowMs) {
        this.engine = engine;
        this.books = books;
        this.nowMs = nowMs;
        this.lanes = new RemoteLanes(books, remoteLanes, nowMs);
    }

    /**
     * Returns when each model will be ready, by instance.
     *
     * @param awaited the models that calls wait for and that are on no engine, in the order in which they are loaded
     */
    Map<InstanceId, Map<ModelName, Long>> of(List<ModelName> awaited) {
        for (EngineBook book : books) {
            if (book.trusted()) {
                freeAtMs.put(book, nowMs + book.freeInMs(nowMs));
                book.coming().ifPresent(model -> place(book, model));
            }
        }
        for (ModelName model : awaited) {
            placeWhereSoonest(model);
        }
        return readyAtMs;
    }

    private void placeWhereSoonest(ModelName model) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return;
        }
        EngineBook best = null;
        long bestMs = Long.MAX_VALUE;
        for (EngineBook book : freeAtMs.keySet()) {
            long endMs = beginMs(book, model) + book.loadMs(definition);
            boolean sooner = endMs < bestMs || (endMs == bestMs && book.id().compareTo(best.id()) < 0);
            if (sooner) {
                best = book;
                bestMs = endMs;
            }
        }
        if (best != null) {
            place(best, model);
        }
    }

    private long beginMs(EngineBook book, ModelName model) {
        return book.atHand(model) ? freeAtMs.get(book) : Math.max(freeAtMs.get(book), lanes.nextFreeMs());
    }

    private void place(EngineBook book, ModelName model) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return;
        }
        long endMs = beginMs(book, model) + book.loadMs(definition);
        if (!book.atHand(model)) {
            lanes.take(endMs);
        }
        freeAtMs.put(book, endMs);
        readyAtMs.computeIfAbsent(book.id(), id -> new HashMap<>()).put(model, endMs);
    }
}

package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Says which models make room on an engine and what their going costs in waiting time. */
final class VictimChooser {
    /** For how long ahead the calls for a removed model are counted. */
    private static final double HORIZON_S = 4;
    /** What is expected of a model that nobody has asked for lately. */
    private static final double UNKNOWN_CALLS_PER_S = 0.02;
    /** Share of a removed model's cost when another engine has it too. */
    private static final double SPARE_COPY_SHARE = 0.1;
    /** Share of a removed model's cost when its callers are on time even after a load. */
    private static final double PATIENT_SHARE = 0.25;
    /** A load takes this many times its own time with the unload before and the queue behind it. */
    private static final double WAIT_FACTOR = 2;
    /** How long a model stays at least, so that the calls which it came for arrive. */
    private static final long SETTLE_MS = 700;
    /** How long a model that may not go now is expected to stay. */
    private static final double STAY_MS = 1_200;
    /** An unload waits for the calls that run; they take about this long. */
    private static final double RUNNING_MS = 1_500;
    /** An unload of a model that nobody uses. */
    private static final double UNLOAD_MS = 30;

    private final EngineDefinition engine;
    private final DemandBook demand;
    private final CopyNeed need;

    VictimChooser(EngineDefinition engine, DemandBook demand, CopyNeed need) {
        this.engine = engine;
        this.demand = demand;
        this.need = need;
    }

    /**
     * Returns the model whose going costs least; nothing if that one has to stay for the moment.
     *
     * <p>A model that is costlier by more than that moment never goes in its place.
     */
    Optional<ModelName> next(EngineBook book, Collection<EngineBook> books, long nowMs) {
        return book.models().keySet().stream()
                .min(Comparator.comparingDouble((ModelName model) -> goneMs(book, model, books, nowMs))
                        .thenComparing(model -> model))
                .filter(model -> mayGo(model, book.models().get(model), nowMs));
    }

    /** Returns what the going of a model costs, with the time until it may go. */
    private double goneMs(EngineBook book, ModelName model, Collection<EngineBook> books, long nowMs) {
        boolean mayGo = mayGo(model, book.models().get(model), nowMs);
        return removalMs(book, model, books, nowMs) + (mayGo ? 0 : STAY_MS);
    }

    /**
     * Returns what making room for a model costs, in milliseconds of waiting; infinite if that is not possible.
     *
     * <p>A model that has to stay for the moment counts with the time until it may go.
     */
    double costMs(EngineBook book, ModelDefinition wanted, Collection<EngineBook> books, long nowMs) {
        double missingMb = book.usedMb(engine) + wanted.sizeMb() - engine.modelMemoryMb();
        double costMs = 0;
        for (ModelName victim : cheapestFirst(book, books, nowMs)) {
            if (missingMb <= 0) {
                return costMs;
            }
            missingMb -= engine.models().containsKey(victim)
                    ? engine.models().get(victim).sizeMb()
                    : 0;
            costMs += goneMs(book, victim, books, nowMs);
        }
        return missingMb <= 0 ? costMs : Double.POSITIVE_INFINITY;
    }

    private List<ModelName> cheapestFirst(EngineBook book, Collection<EngineBook> books, long nowMs) {
        List<ModelName> models = new ArrayList<>(book.models().keySet());
        models.sort(Comparator.comparingDouble((ModelName model) -> goneMs(book, model, books, nowMs))
                .thenComparing(model -> model));
        return models;
    }

    /** A model that calls wait for, or that has only just come for them, stays. */
    private boolean mayGo(ModelName model, Resident resident, long nowMs) {
        boolean settled = nowMs - resident.readySinceMs() >= SETTLE_MS;
        return resident.ready() && settled && !demand.awaited(model, nowMs);
    }

    /** Returns whether the calls for a model can wait for a load from disk and still be on time. */
    boolean callersCanWait(ModelDefinition model, long nowMs) {
        return demand.targetMs(model.name(), nowMs) > WAIT_FACTOR * model.diskLoadMs();
    }

    private double removalMs(EngineBook book, ModelName model, Collection<EngineBook> books, long nowMs) {
        double waitMs = demand.running(book.id(), model, nowMs) > 0 ? RUNNING_MS : UNLOAD_MS;
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return waitMs;
        }
        double share = spare(book, model, books, nowMs) ? SPARE_COPY_SHARE : 1;
        // Before the first call, what was placed on many engines is expected to be asked for more.
        double weight = demand.anyArrivals(nowMs) ? 1 : copies(model, books);
        return waitMs + share * weight * missingMs(definition, nowMs);
    }

    /** Returns what a spare copy of a model saves, in milliseconds of waiting. */
    double spareCopyMs(ModelDefinition model, long nowMs) {
        return SPARE_COPY_SHARE * missingMs(model, nowMs);
    }

    /** Returns how long the calls for a model would wait together if it had to be loaded for them. */
    private double missingMs(ModelDefinition model, long nowMs) {
        double calls = Math.max(UNKNOWN_CALLS_PER_S, demand.callsPerSecond(model.name(), nowMs)) * HORIZON_S;
        double patience = callersCanWait(model, nowMs) ? PATIENT_SHARE : 1;
        return calls * patience * model.diskLoadMs();
    }

    /** Returns whether the other copies of a model are enough for its calls. */
    private boolean spare(EngineBook here, ModelName model, Collection<EngineBook> books, long nowMs) {
        int others = copies(model, books) - (here.serves(model) ? 1 : 0);
        return others >= need.kept(model, nowMs);
    }

    private static int copies(ModelName model, Collection<EngineBook> books) {
        int copies = 0;
        for (EngineBook book : books) {
            copies += book.serves(model) ? 1 : 0;
        }
        return copies;
    }
}

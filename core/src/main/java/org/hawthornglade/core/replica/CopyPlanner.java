package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Brings models to further engines, and ones that are nowhere to any, with the capacity that waiting calls leave. */
final class CopyPlanner {
    /** A model with this many calls a second gets a second copy, if its callers cannot wait for a load. */
    private static final double COPY_CALLS_PER_S = 0.5;
    /** A spare copy must be worth this many times what goes for it. */
    private static final double CLEAR_GAIN = 1.5;

    private final EngineDefinition engine;
    private final DemandBook demand;
    private final AdapterPlanner adapters;
    private final VictimChooser victims;
    private final HostChooser hosts;
    private final CopyNeed need;

    CopyPlanner(
            EngineDefinition engine,
            DemandBook demand,
            AdapterPlanner adapters,
            VictimChooser victims,
            HostChooser hosts,
            CopyNeed need) {
        this.engine = engine;
        this.demand = demand;
        this.adapters = adapters;
        this.victims = victims;
        this.hosts = hosts;
        this.need = need;
    }

    /** Gives busy models the copies that their calls need, the one that lacks most first. */
    void addNeededCopies(PlanRound round) {
        List<ModelName> lacking = new ArrayList<>();
        for (ModelName model : engine.models().keySet()) {
            if (lack(model, round) > 0) {
                lacking.add(model);
            }
        }
        lacking.sort(Comparator.comparingInt((ModelName model) -> -lack(model, round)));
        lacking.forEach(model -> addCopy(engine.models().get(model), round));
    }

    private int lack(ModelName model, PlanRound round) {
        int there = copies(model, round);
        boolean first = there == 0;
        return first || onItsWay(model, round) ? 0 : need.wanted(model, round.nowMs()) - there;
    }

    /** Gives each model with steady calls that cannot wait for a load a second copy, where its weights lie. */
    void addSecondCopies(PlanRound round) {
        for (ModelDefinition model : engine.models().values()) {
            boolean single = copies(model.name(), round) == 1 && !round.begun(model.name());
            if (!single || !deservesCopy(model, round.nowMs())) {
                continue;
            }
            EngineBook host = hosts.cheapestWithWeights(model, round.books(), round.taken(), round.nowMs());
            if (host != null && worthIt(model, host, round)) {
                round.bring(host, model.name());
            }
        }
    }

    /** A spare copy saves what its removal would cost; what goes for it must be worth clearly less. */
    private boolean worthIt(ModelDefinition model, EngineBook host, PlanRound round) {
        double goneMs = victims.costMs(host, model, round.books(), round.nowMs());
        return victims.spareCopyMs(model, round.nowMs()) > CLEAR_GAIN * goneMs;
    }

    private boolean deservesCopy(ModelDefinition model, long nowMs) {
        return demand.callsPerSecond(model.name(), nowMs) >= COPY_CALLS_PER_S && !victims.callersCanWait(model, nowMs);
    }

    private static int copies(ModelName model, PlanRound round) {
        int copies = 0;
        for (EngineBook book : round.books()) {
            boolean here = book.holds(model) || book.coming().equals(Optional.of(model));
            copies += here && book.trusted() ? 1 : 0;
        }
        return copies;
    }

    /** Gives models whose adapters find no place a further copy, since each engine has places for a few only. */
    void addPlacesForAdapters(List<VariantDemand> waiting, PlanRound round) {
        for (ModelName model : busiestFirst(round.nowMs())) {
            if (!onItsWay(model, round) && adapters.crowded(model, waiting, round.books())) {
                addCopy(engine.models().get(model), round);
            }
        }
    }

    private void addCopy(ModelDefinition model, PlanRound round) {
        EngineBook host = hosts.cheapestWithWeights(model, round.books(), round.taken(), round.nowMs());
        if (host == null && round.mayLoadRemotely()) {
            host = hosts.cheapest(model, round.books(), round.taken(), round.nowMs());
        }
        if (host != null) {
            round.bring(host, model.name());
        }
    }

    private static boolean onItsWay(ModelName model, PlanRound round) {
        for (EngineBook book : round.books()) {
            boolean coming = book.coming().equals(Optional.of(model));
            if (book.trusted() && (coming || book.loads(model))) {
                return true;
            }
        }
        return round.begun(model);
    }

    /** Brings models that are nowhere to an engine that can spare the room, the busiest first. */
    void spread(PlanRound round) {
        for (ModelName model : busiestFirst(round.nowMs())) {
            boolean room =
                    demand.anyArrivals(round.nowMs()) ? round.mayLoadRemotelyInAdvance() : round.mayLoadRemotely();
            if (!room) {
                return;
            }
            if (round.begun(model) || somewhere(model, round)) {
                continue;
            }
            EngineBook host = hosts.cheapest(engine.models().get(model), round.books(), round.taken(), round.nowMs());
            if (host == null) {
                return;
            }
            round.bring(host, model);
        }
    }

    private List<ModelName> busiestFirst(long nowMs) {
        List<ModelName> models = new ArrayList<>(engine.models().keySet());
        models.sort(Comparator.comparingDouble(model -> -demand.callsPerSecond(model, nowMs)));
        return models;
    }

    private static boolean somewhere(ModelName model, PlanRound round) {
        for (EngineBook book : round.books()) {
            boolean here =
                    book.holds(model) || book.atHand(model) || book.coming().equals(Optional.of(model));
            if (here && !book.leaving()) {
                return true;
            }
        }
        return false;
    }
}

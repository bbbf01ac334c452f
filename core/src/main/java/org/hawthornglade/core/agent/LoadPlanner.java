package org.hawthornglade.core.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.chart.ReplicaState;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.idle.IdlePlan;
import org.hawthornglade.core.idle.ReplicaCost;
import org.hawthornglade.core.load.EvictionCandidate;
import org.hawthornglade.core.load.LoadCandidate;
import org.hawthornglade.core.load.ReplicaLoadInput;
import org.hawthornglade.core.placement.AssignmentRow;

/** Decides what is loaded next and what is unloaded to free memory for it. */
final class LoadPlanner {
    /** Weight of a load ahead of requests; less than that of any waiting request. */
    private static final double PREWARM_WEIGHT = 0.001;

    /** Replicas with lower ordinals count as unreachable if demand persists for this many load times. */
    private static final long LOWER_ORDINAL_LOAD_FACTOR = 2;

    private static final long ASSUMED_SERVICE_MS = 1_000;

    private final EngineTracker engine;
    private final AssignmentTracker rows;
    private final DemandTable demand;
    private final AttemptTracker attempts;
    private final AgentPolicies policies;
    private final FenceController fence;
    private final Map<ModelName, Long> demandSinceMs = new HashMap<>();

    private record WantedLoad(LoadCandidate candidate, String version) {}

    LoadPlanner(
            EngineTracker engine,
            AssignmentTracker rows,
            DemandTable demand,
            AttemptTracker attempts,
            AgentPolicies policies,
            FenceController fence) {
        this.engine = engine;
        this.rows = rows;
        this.demand = demand;
        this.attempts = attempts;
        this.policies = policies;
        this.fence = fence;
    }

    /** Returns whether a model or adapter is wanted that is not loaded. */
    boolean hasWantedLoads(Configuration configuration, long nowMs) {
        return !wanted(configuration, nowMs).isEmpty();
    }

    /** Orders the loads that may start now and decides unloads to free memory for the first that does not fit. */
    void startLoads(Configuration configuration, long nowMs, List<AgentCommand> commands) {
        Map<ModelName, WantedLoad> wanted = wanted(configuration, nowMs);
        abandonUnwantedLoads(wanted);
        if (wanted.isEmpty()) {
            return;
        }
        List<LoadCandidate> candidates =
                wanted.values().stream().map(WantedLoad::candidate).toList();
        int availableMb = engine.ledger().freeMb() + engine.pendingFreeMb() + totalMemoryMb(evictionCandidates(null));
        for (LoadCandidate next : policies.loadOrder().order(candidates, availableMb, nowMs)) {
            if (!tryStart(next, wanted.get(next.name()).version(), nowMs, commands)) {
                return;
            }
        }
    }

    private void abandonUnwantedLoads(Map<ModelName, WantedLoad> wanted) {
        for (Replica replica : engine.replicas()) {
            if (replica.state() == ReplicaState.WAITING && !wanted.containsKey(replica.name())) {
                replica.abandonLoad();
            }
        }
    }

    /** Starts a load if possible; returns whether the next candidate may be tried as well. */
    private boolean tryStart(LoadCandidate next, String version, long nowMs, List<AgentCommand> commands) {
        Replica replica = engine.replica(next.name(), nowMs);
        if (replica.state() == ReplicaState.ABSENT) {
            replica.decideLoad(nowMs);
            engine.recordEvent(EventKind.LOAD_DECIDED, replica, "weight " + next.waitingWeight());
        }
        boolean repeated = replica.state() == ReplicaState.LOADING;
        boolean mayStart =
                engine.loadConcurrencyFor(next.base()).mayStart(engine.loadingCount(next.base() != null), nowMs);
        if (!repeated && !mayStart) {
            return true;
        }
        if (!engine.ledger().reserve(next.name(), next.memoryMb())) {
            return !makeRoom(next, nowMs);
        }
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.LOAD, next.name(), version, next.base(), next.memoryMb(), fence.number());
        engine.load(replica, order, nowMs, commands);
        return true;
    }

    /** Decides unloads for a candidate; returns whether enough memory comes free, which no later one may take. */
    private boolean makeRoom(LoadCandidate next, long nowMs) {
        int missingMb = next.memoryMb() - engine.ledger().freeMb() - engine.pendingFreeMb();
        if (missingMb <= 0) {
            return true;
        }
        List<EvictionCandidate> chosen = policies.eviction().choose(evictionCandidates(next.base()), missingMb, nowMs);
        for (EvictionCandidate victim : chosen) {
            Replica replica = engine.replica(victim.name(), nowMs);
            if (replica.decideUnload()) {
                engine.recordEvent(EventKind.UNLOAD_DECIDED, replica, "to free memory for " + next.name());
            }
        }
        return !chosen.isEmpty();
    }

    private Map<ModelName, WantedLoad> wanted(Configuration configuration, long nowMs) {
        Collection<AssignmentRow> held = rows.held();
        Map<ModelName, WantedLoad> wanted = new HashMap<>();
        for (AssignmentRow row : held) {
            ModelName name = row.assignment().model();
            trackDemand(name, nowMs);
            configuration.model(name).ifPresent(spec -> addModel(spec, row, nowMs, wanted));
            if (engine.isReady(name)) {
                demand.wantedAdapters(name)
                        .forEach(adapter -> configuration
                                .adapter(adapter)
                                .filter(spec -> spec.base().equals(name))
                                .ifPresent(spec -> addAdapter(spec, nowMs, wanted)));
            }
        }
        return wanted;
    }

    private void trackDemand(ModelName name, long nowMs) {
        if (demand.queued(name) == 0) {
            demandSinceMs.remove(name);
        } else {
            demandSinceMs.putIfAbsent(name, nowMs);
        }
    }

    private void addModel(ModelSpec spec, AssignmentRow row, long nowMs, Map<ModelName, WantedLoad> wanted) {
        Replica replica = engine.replica(spec.name(), nowMs);
        if (!replica.mayLoad(nowMs)) {
            return;
        }
        long loadMs = engine.expectedLoadMs(spec.name(), spec.version(), spec.reservedMb());
        boolean demanded = policies.loadRule()
                .shouldLoad(
                        row.assignment().ordinal(),
                        loadRuleInput(spec, row.assignment().ordinal(), loadMs, nowMs));
        if (demanded || shouldPrewarm(replica, spec, loadMs, nowMs)) {
            double weight = demanded ? demand.waitingWeight(spec.name()) : PREWARM_WEIGHT;
            wanted.put(
                    spec.name(),
                    new WantedLoad(
                            candidate(spec.name(), null, spec.reservedMb(), loadMs, weight, nowMs), spec.version()));
        }
    }

    private boolean shouldPrewarm(Replica replica, ModelSpec spec, long loadMs, long nowMs) {
        if (replica.state() != ReplicaState.ABSENT && replica.state() != ReplicaState.WAITING) {
            return false;
        }
        IdlePlan plan =
                policies.idle().plan(spec.name(), replica.lastUsedAtMs(), new ReplicaCost(spec.accelerators(), loadMs));
        return nowMs >= plan.prewarmAtMs() && nowMs < plan.prewarmUntilMs();
    }

    private void addAdapter(AdapterSpec spec, long nowMs, Map<ModelName, WantedLoad> wanted) {
        if (engine.replica(spec.name(), nowMs).mayLoad(nowMs)) {
            double weight = Math.max(1, demand.waitingWeight(spec.base()));
            wanted.put(
                    spec.name(),
                    new WantedLoad(
                            candidate(spec.name(), spec.base(), spec.memoryMb(), 1, weight, nowMs), spec.version()));
        }
    }

    private LoadCandidate candidate(
            ModelName name, ModelName base, int memoryMb, long loadMs, double weight, long nowMs) {
        ModelName demandModel = base == null ? name : base;
        long deadlineInMs = demand.earliestDeadlineInMs(demandModel);
        return new LoadCandidate(
                name,
                base,
                memoryMb,
                Math.max(1, loadMs),
                weight,
                0,
                demandSinceMs.getOrDefault(demandModel, nowMs),
                deadlineInMs == Long.MAX_VALUE ? Long.MAX_VALUE : nowMs + deadlineInMs);
    }

    /** The state of replicas with lower ordinals is unknown here; they are assumed to load on the same demand. */
    private ReplicaLoadInput loadRuleInput(ModelSpec spec, int ordinal, long loadMs, long nowMs) {
        long waitedMs = nowMs - demandSinceMs.getOrDefault(spec.name(), nowMs);
        return new ReplicaLoadInput(
                demand.queued(spec.name()),
                waitedMs <= LOWER_ORDINAL_LOAD_FACTOR * loadMs,
                ordinal,
                Math.max(0, loadMs - waitedMs),
                ordinal * spec.maxConcurrent(),
                ASSUMED_SERVICE_MS,
                loadMs,
                demand.earliestDeadlineInMs(spec.name()));
    }

    /** Returns what may be unloaded: ready, idle, without loaded adapters, and not the given base of a candidate. */
    private List<EvictionCandidate> evictionCandidates(ModelName neededBase) {
        List<EvictionCandidate> candidates = new ArrayList<>();
        for (Replica replica : engine.replicas()) {
            ModelName demandModel = replica.base() == null ? replica.name() : replica.base();
            boolean busy = attempts.running(replica.name()) > 0 || demand.queued(demandModel) > 0;
            boolean hasAdapters = !engine.adaptersOf(replica.name()).isEmpty();
            if (!replica.isReady() || busy || hasAdapters || replica.name().equals(neededBase)) {
                continue;
            }
            int memoryMb = engine.ledger().usedMb(replica.name());
            long reloadMs = engine.expectedLoadMs(replica.name(), replica.version(), memoryMb);
            candidates.add(new EvictionCandidate(replica.name(), memoryMb, reloadMs, 0, replica.lastUsedAtMs()));
        }
        return candidates;
    }

    private static int totalMemoryMb(List<EvictionCandidate> candidates) {
        return candidates.stream().mapToInt(EvictionCandidate::memoryMb).sum();
    }
}

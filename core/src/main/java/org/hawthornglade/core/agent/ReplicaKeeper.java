package org.hawthornglade.core.agent;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.ledger.MemoryLedger;
import org.hawthornglade.core.report.ReplicaPhase;
import org.hawthornglade.core.report.ReplicaView;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Decides what an engine loads and unloads, within the assignments and the memory. */
final class ReplicaKeeper {
    private static final long BUSY_RETRY_MS = 100;
    private static final long ORDER_RETRY_MS = 1_000;
    private static final long DEFAULT_LOAD_ESTIMATE_MS = 5_000;

    private final AttemptBook attempts;
    private final DemandBook demand;
    private final long keepAliveMs;
    private final MemoryLedger ledger = new MemoryLedger();
    private final Map<ModelName, Assignment> assignments = new TreeMap<>();
    private final Set<ModelName> releasing = new HashSet<>();
    private final Map<ModelName, OpenOrder> openOrders = new HashMap<>();
    private final Map<ModelName, Long> lastUsedAtMs = new HashMap<>();
    private boolean assignmentsKnown;
    private long fencingNumber;

    ReplicaKeeper(AttemptBook attempts, DemandBook demand, long keepAliveMs) {
        this.attempts = attempts;
        this.demand = demand;
        this.keepAliveMs = keepAliveMs;
    }

    void fenceTaken(long number) {
        fencingNumber = number;
    }

    void fenceLost() {
        fencingNumber = 0;
    }

    void assigned(List<Assignment> rows) {
        assignmentsKnown = true;
        assignments.clear();
        rows.forEach(row -> assignments.put(row.model(), row));
    }

    void released(Assignment row) {
        releasing.remove(row.model());
        assignments.remove(row.model());
    }

    void notReleased(Assignment row) {
        releasing.remove(row.model());
    }

    void used(ModelName model, long nowMs) {
        if (model != null) {
            lastUsedAtMs.put(model, nowMs);
        }
    }

    void reported(EngineReport report, long nowMs) {
        ledger.take(report);
        EngineReport latest = ledger.latest();
        openOrders.values().removeIf(open -> open.seenBy(latest));
        for (EngineModel model : latest.models()) {
            lastUsedAtMs.putIfAbsent(model.model(), nowMs);
        }
    }

    void orderTaken(EngineOrder order, long orderSequence) {
        if (order.kind() == EngineOrder.Kind.LOAD) {
            ledger.ordered(order.model(), orderSequence);
        }
        openOrders.computeIfPresent(order.model(), (model, open) -> open.taken(orderSequence));
    }

    void orderFailed(EngineOrder order, Failure failure, long nowMs) {
        boolean hadNoEffect = failure.code() != ResultCode.PLATFORM_OUTCOME_UNKNOWN;
        if (hadNoEffect && order.kind() == EngineOrder.Kind.LOAD) {
            ledger.cancel(order.model());
        }
        openOrders.put(order.model(), OpenOrder.failed(order, nowMs + ORDER_RETRY_MS));
    }

    int freeMb() {
        return ledger.freeMb();
    }

    boolean nothingHeld() {
        return assignments.isEmpty() || !assignmentsKnown;
    }

    Failure refusalOf(AttemptRequest attempt, Configuration configuration) {
        if (attempt.model() == null || !ready(attempt.model())) {
            return Failure.retryAfter(ResultCode.MODEL_NOT_LOADED, "the model is not ready here", BUSY_RETRY_MS);
        }
        if (attempt.adapter() != null && !ready(attempt.adapter())) {
            return Failure.retryAfter(ResultCode.MODEL_NOT_LOADED, "the adapter is not ready here", BUSY_RETRY_MS);
        }
        int maxConcurrent = configuration
                .model(attempt.model())
                .map(ModelSpec::maxConcurrent)
                .orElse(0);
        if (attempts.running(attempt.model()) >= maxConcurrent) {
            return Failure.retryAfter(ResultCode.AGENT_BUSY, "the replica runs as much as it may", BUSY_RETRY_MS);
        }
        return null;
    }

    /** Adds the orders that the state calls for. */
    void decide(Configuration configuration, boolean draining, long nowMs, List<AgentCommand> commands) {
        if (!ledger.known() || !assignmentsKnown || fencingNumber == 0) {
            return;
        }
        unloadUnwanted(configuration, draining, nowMs, commands);
        releaseRows(draining, commands);
        if (!draining) {
            loadWanted(configuration, nowMs, commands);
        }
    }

    private void unloadUnwanted(
            Configuration configuration, boolean draining, long nowMs, List<AgentCommand> commands) {
        for (EngineModel held : ledger.latest().models()) {
            if (isOpen(held.model(), nowMs) || held.state() == LoadState.UNLOADING) {
                continue;
            }
            String reason = reasonToUnload(held, configuration, draining, nowMs);
            if (reason != null && attempts.running(held.model()) == 0) {
                unload(held, reason, nowMs, commands);
            }
        }
    }

    private String reasonToUnload(EngineModel held, Configuration configuration, boolean draining, long nowMs) {
        if (held.state() == LoadState.HALF_PRESENT) {
            return "half present";
        }
        ModelName base = held.base() == null ? held.model() : held.base();
        Assignment row = assignments.get(base);
        if (row == null || row.state() != AssignmentState.HELD) {
            return "not assigned";
        }
        if (draining) {
            return "instance leaving";
        }
        if (configuration.baseOf(held.model()).isEmpty()) {
            return "not in the configuration";
        }
        boolean idle = nowMs - lastUsedAtMs.getOrDefault(held.model(), nowMs) >= keepAliveMs;
        if (held.state() == LoadState.READY && idle && demand.queued(base) == 0) {
            return "idle";
        }
        return null;
    }

    private void releaseRows(boolean draining, List<AgentCommand> commands) {
        for (Assignment row : List.copyOf(assignments.values())) {
            boolean giveUp = draining || row.state() == AssignmentState.RELEASING;
            if (!giveUp || releasing.contains(row.model()) || ledger.takenMb(row.model()) > 0) {
                continue;
            }
            releasing.add(row.model());
            commands.add(new AgentCommand.ReleaseRow(row));
        }
    }

    private void loadWanted(Configuration configuration, long nowMs, List<AgentCommand> commands) {
        for (ModelSpec spec : wantedModels(configuration)) {
            if (isOpen(spec.name(), nowMs) || phase(spec.name()) != ReplicaPhase.ABSENT) {
                continue;
            }
            if (!ledger.reserve(spec.name(), spec.reservedMb())) {
                makeRoom(spec, nowMs, commands);
                continue;
            }
            load(spec.name(), spec.version(), null, spec.reservedMb(), nowMs, commands);
        }
        loadAdapters(configuration, nowMs, commands);
    }

    private List<ModelSpec> wantedModels(Configuration configuration) {
        List<ModelSpec> wanted = new ArrayList<>();
        for (Assignment row : assignments.values()) {
            Optional<ModelSpec> spec = configuration.model(row.model());
            if (row.state() == AssignmentState.HELD && spec.isPresent() && demand.queued(row.model()) > 0) {
                wanted.add(spec.get());
            }
        }
        wanted.sort(Comparator.comparingDouble(spec -> -demand.waitingWeight(spec.name())));
        return wanted;
    }

    private void loadAdapters(Configuration configuration, long nowMs, List<AgentCommand> commands) {
        for (ModelName base : assignments.keySet()) {
            if (!ready(base)) {
                continue;
            }
            for (ModelName name : demand.adaptersWanted(base)) {
                loadAdapter(configuration.adapter(name), nowMs, commands);
            }
        }
    }

    private void loadAdapter(Optional<AdapterSpec> adapter, long nowMs, List<AgentCommand> commands) {
        if (adapter.isEmpty()) {
            return;
        }
        AdapterSpec spec = adapter.get();
        if (isOpen(spec.name(), nowMs) || phase(spec.name()) != ReplicaPhase.ABSENT) {
            return;
        }
        if (ledger.reserve(spec.name(), spec.memoryMb())) {
            load(spec.name(), spec.version(), spec.base(), spec.memoryMb(), nowMs, commands);
        }
    }

    private void makeRoom(ModelSpec wanted, long nowMs, List<AgentCommand> commands) {
        int missingMb = wanted.reservedMb() - ledger.freeMb();
        List<EngineModel> idle = new ArrayList<>(ledger.latest().models());
        idle.removeIf(held -> held.state() != LoadState.READY
                || held.base() != null
                || isOpen(held.model(), nowMs)
                || attempts.running(held.model()) > 0
                || demand.queued(held.model()) > 0);
        idle.sort(Comparator.comparingLong(held -> lastUsedAtMs.getOrDefault(held.model(), 0L)));
        for (EngineModel held : idle) {
            if (missingMb <= 0) {
                return;
            }
            missingMb -= ledger.takenMb(held.model());
            unload(held, "room for " + wanted.name(), nowMs, commands);
        }
    }

    private void load(
            ModelName model, String version, ModelName base, int memoryMb, long nowMs, List<AgentCommand> commands) {
        EngineOrder order = new EngineOrder(EngineOrder.Kind.LOAD, model, version, base, memoryMb, fencingNumber);
        openOrders.put(model, OpenOrder.given(order, nowMs));
        used(model, nowMs);
        commands.add(new AgentCommand.GiveOrder(order));
        commands.add(new AgentCommand.RecordEvent(EventDraft.of(EventKind.LOAD_DECIDED)
                .model(model)
                .configVersion(0)
                .detail("queued " + demand.queued(base == null ? model : base))));
    }

    private void unload(EngineModel held, String reason, long nowMs, List<AgentCommand> commands) {
        EngineOrder order = new EngineOrder(EngineOrder.Kind.UNLOAD, held.model(), null, held.base(), 0, fencingNumber);
        openOrders.put(held.model(), OpenOrder.given(order, nowMs));
        commands.add(new AgentCommand.GiveOrder(order));
        commands.add(new AgentCommand.RecordEvent(
                EventDraft.of(EventKind.UNLOAD_DECIDED).model(held.model()).detail(reason)));
    }

    private boolean isOpen(ModelName model, long nowMs) {
        OpenOrder open = openOrders.get(model);
        return open != null && !open.expired(nowMs);
    }

    private boolean ready(ModelName model) {
        return phase(model) == ReplicaPhase.READY;
    }

    private ReplicaPhase phase(ModelName model) {
        OpenOrder open = openOrders.get(model);
        if (open != null && open.order().kind() == EngineOrder.Kind.UNLOAD) {
            return ReplicaPhase.UNLOADING;
        }
        if (!ledger.known()) {
            return ReplicaPhase.ABSENT;
        }
        for (EngineModel held : ledger.latest().models()) {
            if (held.model().equals(model)) {
                return phaseOf(held.state());
            }
        }
        return open != null && !open.hasFailed() ? ReplicaPhase.LOADING : ReplicaPhase.ABSENT;
    }

    private static ReplicaPhase phaseOf(LoadState state) {
        return switch (state) {
            case LOADING -> ReplicaPhase.LOADING;
            case READY -> ReplicaPhase.READY;
            case UNLOADING, HALF_PRESENT -> ReplicaPhase.UNLOADING;
        };
    }

    List<ReplicaView> views(Configuration configuration, long nowMs) {
        List<ReplicaView> views = new ArrayList<>();
        for (Assignment row : assignments.values()) {
            if (row.state() == AssignmentState.HELD) {
                views.add(view(row, configuration));
            }
        }
        return views;
    }

    private ReplicaView view(Assignment row, Configuration configuration) {
        ReplicaPhase phase = phase(row.model());
        return new ReplicaView(
                row.model(),
                row.ordinal(),
                phase,
                attempts.running(row.model()),
                configuration.model(row.model()).map(ModelSpec::maxConcurrent).orElse(0),
                phase == ReplicaPhase.READY ? 0 : -1,
                DEFAULT_LOAD_ESTIMATE_MS,
                readyAdapters(row.model()),
                configuration.model(row.model()).map(ModelSpec::version).orElse(""));
    }

    private List<ModelName> readyAdapters(ModelName base) {
        List<ModelName> ready = new ArrayList<>();
        if (ledger.known()) {
            for (EngineModel held : ledger.latest().models()) {
                if (base.equals(held.base()) && ready(held.model())) {
                    ready.add(held.model());
                }
            }
        }
        return ready;
    }
}

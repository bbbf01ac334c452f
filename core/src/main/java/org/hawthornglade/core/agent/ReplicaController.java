package org.hawthornglade.core.agent;

import java.util.List;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.chart.ReplicaState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.idle.ReplicaCost;
import org.hawthornglade.core.placement.AssignmentRow;

/** Decides what an engine loads and unloads and which rows are released, according to assignments and memory. */
final class ReplicaController {
    private final EngineTracker engine;
    private final AssignmentTracker rows;
    private final FenceController fence;
    private final AttemptTracker attempts;
    private final DemandTable demand;
    private final AgentPolicies policies;
    private final LoadPlanner loads;

    ReplicaController(
            EngineTracker engine,
            AssignmentTracker rows,
            FenceController fence,
            AttemptTracker attempts,
            DemandTable demand,
            AgentPolicies policies) {
        this.engine = engine;
        this.rows = rows;
        this.fence = fence;
        this.attempts = attempts;
        this.demand = demand;
        this.policies = policies;
        this.loads = new LoadPlanner(engine, rows, demand, attempts, policies, fence);
    }

    /** Adds the commands that the current state requires. */
    void decide(Configuration configuration, boolean draining, long nowMs, List<AgentCommand> commands) {
        if (!engine.decideFence(nowMs, commands) || !rows.hasRead()) {
            return;
        }
        if (fence.mayOrder(engine.latest(), nowMs)) {
            issueOrders(configuration, draining, nowMs, commands);
        } else if (needsOrders(configuration, draining, nowMs)) {
            fence.requestCheck(nowMs, commands);
        }
        releaseRows(draining, nowMs, commands);
        engine.drainEvents(commands);
    }

    private void issueOrders(Configuration configuration, boolean draining, long nowMs, List<AgentCommand> commands) {
        decideUnloads(configuration, draining, nowMs);
        if (!draining) {
            loads.startLoads(configuration, nowMs, commands);
        }
        orderUnloads(nowMs, commands);
    }

    private boolean needsOrders(Configuration configuration, boolean draining, long nowMs) {
        boolean unloads = engine.replicas().stream()
                .anyMatch(replica -> replica.isDrainingOrUnloading()
                        || unloadReason(replica, configuration, draining, nowMs) != null);
        return unloads || (!draining && loads.hasWantedLoads(configuration, nowMs));
    }

    private void decideUnloads(Configuration configuration, boolean draining, long nowMs) {
        for (Replica replica : engine.replicas()) {
            String reason = unloadReason(replica, configuration, draining, nowMs);
            if (reason == null || !mayDecideUnload(replica) || !replica.decideUnload()) {
                continue;
            }
            engine.recordEvent(EventKind.UNLOAD_DECIDED, replica, reason);
        }
    }

    /** An unload is decided only once a report has shown the load, so that the orders cannot overtake each other. */
    private static boolean mayDecideUnload(Replica replica) {
        return replica.isReady() || !replica.hasOpenOrder();
    }

    private String unloadReason(Replica replica, Configuration configuration, boolean draining, long nowMs) {
        ReplicaState state = replica.state();
        if (state == ReplicaState.ABSENT || state == ReplicaState.WAITING || replica.isDrainingOrUnloading()) {
            return null;
        }
        if (state == ReplicaState.HALF_PRESENT) {
            return engine.ledger().mayHold(replica.name()) ? "half present" : null;
        }
        ModelName base = replica.base() == null ? replica.name() : replica.base();
        if (rows.held(base) == null) {
            return "not assigned";
        }
        if (draining) {
            return "instance draining";
        }
        if (replica.base() != null && isBaseUnloading(replica)) {
            return "base model being unloaded";
        }
        return configurationUnloadReason(replica, configuration, nowMs);
    }

    private boolean isBaseUnloading(Replica adapter) {
        ReplicaState base = engine.state(adapter.base());
        return base == ReplicaState.DRAINING || base == ReplicaState.UNLOADING;
    }

    private String configurationUnloadReason(Replica replica, Configuration configuration, long nowMs) {
        String version = replica.base() == null
                ? configuration.model(replica.name()).map(ModelSpec::version).orElse(null)
                : configuration
                        .adapter(replica.name())
                        .filter(spec -> spec.base().equals(replica.base()))
                        .map(spec -> spec.version())
                        .orElse(null);
        if (version == null) {
            return "not in the configuration";
        }
        if (!version.equals(replica.version())) {
            return "version " + version + " is configured";
        }
        return replica.isReady() && isIdle(replica, configuration, nowMs) ? "idle" : null;
    }

    private boolean isIdle(Replica replica, Configuration configuration, long nowMs) {
        ModelName base = replica.base() == null ? replica.name() : replica.base();
        if (attempts.running(replica.name()) > 0 || demand.queued(base) > 0) {
            return false;
        }
        if (replica.base() != null) {
            return false;
        }
        int accelerators =
                configuration.model(base).map(ModelSpec::accelerators).orElse(1);
        long reloadMs = engine.expectedLoadMs(
                replica.name(), replica.version(), engine.ledger().usedMb(replica.name()));
        return !policies.idle()
                .plan(base, replica.lastUsedAtMs(), new ReplicaCost(accelerators, reloadMs))
                .loadedAt(nowMs);
    }

    private void orderUnloads(long nowMs, List<AgentCommand> commands) {
        for (Replica replica : engine.replicas()) {
            boolean drained = attempts.running(replica.name()) == 0
                    && runningAtEngine(replica) == 0
                    && engine.adaptersOf(replica.name()).isEmpty();
            boolean ready = replica.state() == ReplicaState.DRAINING ? drained : replica.isDrainingOrUnloading();
            if (ready && !replica.isOrderPending(nowMs)) {
                engine.unload(replica, nowMs, commands);
            }
        }
    }

    private int runningAtEngine(Replica replica) {
        EngineModel held = engine.ledger().reported(replica.name());
        return held == null ? 0 : held.running();
    }

    private void releaseRows(boolean draining, long nowMs, List<AgentCommand> commands) {
        for (AssignmentRow row : rows.unreleased()) {
            Assignment assignment = row.assignment();
            boolean mustRelease = draining || assignment.state() == AssignmentState.RELEASING;
            if (mustRelease && !engine.mayHold(assignment.model()) && rows.beginRelease(row, nowMs)) {
                commands.add(new AgentCommand.ReleaseRow(row));
            }
        }
    }

    /** Returns whether the engine holds nothing and all rows are released. */
    boolean holdsNothing() {
        return rows.hasRead() && rows.unreleased().isEmpty() && engine.holdsNothing();
    }
}

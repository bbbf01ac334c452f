package org.hawthornglade.core.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.chart.ReplicaState;
import org.hawthornglade.core.engine.CachedCheckpoint;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.ledger.MemoryLedger;
import org.hawthornglade.core.load.LoadConcurrency;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Tracks the state of an engine from its reports and from the orders that were sent to it. */
final class EngineTracker {
    private final AgentPolicies policies;
    private final FenceController fence;
    private final MemoryLedger ledger = new MemoryLedger();
    private final Map<ModelName, Replica> replicas = new TreeMap<>();
    private final List<AgentCommand> events = new ArrayList<>();

    EngineTracker(AgentPolicies policies, FenceController fence) {
        this.policies = policies;
        this.fence = fence;
    }

    MemoryLedger ledger() {
        return ledger;
    }

    boolean hasReport() {
        return ledger.hasReport();
    }

    EngineReport latest() {
        return ledger.latest();
    }

    Collection<Replica> replicas() {
        return List.copyOf(replicas.values());
    }

    Replica replica(ModelName name, long nowMs) {
        return replicas.computeIfAbsent(name, absent -> new Replica(name, nowMs));
    }

    ReplicaState state(ModelName name) {
        Replica replica = replicas.get(name);
        return replica == null ? ReplicaState.ABSENT : replica.state();
    }

    boolean isReady(ModelName name) {
        return state(name) == ReplicaState.READY;
    }

    List<Replica> adaptersOf(ModelName base) {
        List<Replica> adapters = new ArrayList<>(replicas.values());
        adapters.removeIf(replica -> !base.equals(replica.base()) || replica.state() == ReplicaState.ABSENT);
        return adapters;
    }

    /** Returns whether the engine holds or may hold a base model or one of its adapters. */
    boolean mayHold(ModelName base) {
        return replicas.values().stream()
                .filter(replica -> base.equals(replica.name()) || base.equals(replica.base()))
                .anyMatch(replica -> replica.state() != ReplicaState.ABSENT
                        || replica.hasOpenOrder()
                        || ledger.mayHold(replica.name()));
    }

    boolean holdsNothing() {
        return replicas.keySet().stream().noneMatch(this::mayHold);
    }

    void onReport(EngineReport report, long nowMs) {
        boolean restarted = hasReport() && latest().bootId() != report.bootId();
        if (!ledger.onReport(report)) {
            return;
        }
        report.models().forEach(held -> replica(held.model(), nowMs));
        for (Replica replica : replicas.values()) {
            if (restarted) {
                replica.onEngineRestart();
            }
            ReplicaState before = replica.state();
            EngineModel held = ledger.reported(replica.name());
            replica.observe(report, held, ledger.mayHold(replica.name()));
            recordTransition(replica, before, nowMs);
        }
        replicas.values()
                .removeIf(replica -> replica.isRemovable(nowMs)
                        && !ledger.mayHold(replica.name())
                        && nowMs - replica.lastUsedAtMs() > AttemptTracker.RETENTION_MS);
    }

    private void recordTransition(Replica replica, ReplicaState before, long nowMs) {
        ReplicaState after = replica.state();
        if (before == after) {
            return;
        }
        if (after == ReplicaState.READY) {
            replica.markUsed(nowMs);
            observeLoadTime(replica, nowMs);
            recordEvent(EventKind.LOAD_FINISHED, replica, "");
        } else if (after == ReplicaState.HALF_PRESENT) {
            recordEvent(EventKind.LOAD_FAILED, replica, "the engine reports the model as half present");
        } else if (after == ReplicaState.ABSENT) {
            recordEvent(EventKind.UNLOAD_FINISHED, replica, "was " + before);
        }
    }

    private void observeLoadTime(Replica replica, long nowMs) {
        if (replica.loadOrderedAtMs() == 0) {
            return;
        }
        int memoryMb = ledger.usedMb(replica.name());
        long durationMs = nowMs - replica.loadOrderedAtMs();
        loadConcurrencyFor(replica.base()).onCompleted(memoryMb, durationMs, replica.concurrentLoads(), nowMs);
        if (replica.base() == null) {
            policies.loadTime().observe(replica.loadTier(), memoryMb, durationMs);
        }
    }

    /** Raises the fencing number at the engine if needed; returns whether other orders may follow. */
    boolean decideFence(long nowMs, List<AgentCommand> commands) {
        commands.addAll(events);
        events.clear();
        fence.decide(latest(), nowMs, commands);
        return hasReport() && fence.isRaised(latest());
    }

    void onOrderTaken(AgentEvent.OrderTaken taken, long nowMs) {
        EngineOrder order = taken.order();
        if (order.kind() == EngineOrder.Kind.FENCE) {
            onFenceRaised(taken, nowMs);
            return;
        }
        Replica replica = replica(order.model(), nowMs);
        if (!replica.isOpenOrder(order)) {
            return;
        }
        if (taken.bootId() != latest().bootId() && !ledger.isPastBoot(taken.bootId())) {
            // The engine run has not reported yet; the fencing number is raised there before its reports count.
            markOutcomeUnknown(replica, order, order.fencingNumber() - 1, nowMs);
            return;
        }
        // What an earlier run accepted is gone, or appears as half present in the reports of the current run.
        long sequence = taken.bootId() == latest().bootId() ? taken.orderSequence() : 0;
        replica.onOrderAccepted(sequence);
        if (order.kind() == EngineOrder.Kind.LOAD) {
            ledger.onOrderAccepted(order.model(), sequence);
        }
    }

    private void onFenceRaised(AgentEvent.OrderTaken taken, long nowMs) {
        if (!fence.onRaiseTaken(taken, latest(), nowMs, events)) {
            return;
        }
        long number = taken.order().fencingNumber();
        ledger.onFenceRaised(number, taken.orderSequence());
        replicas.values().forEach(replica -> replica.onFenceRaised(number));
    }

    void onOrderFailed(EngineOrder order, Failure failure, long nowMs) {
        if (order.kind() == EngineOrder.Kind.FENCE) {
            fence.onRaiseFailed(failure, nowMs);
            return;
        }
        Replica replica = replica(order.model(), nowMs);
        if (!replica.isOpenOrder(order)) {
            return;
        }
        if (failure.code() == ResultCode.PLATFORM_OUTCOME_UNKNOWN) {
            markOutcomeUnknown(replica, order, order.fencingNumber(), nowMs);
            fence.requestRenewal();
            return;
        }
        if (failure.code() == ResultCode.STALE_FENCING_NUMBER) {
            fence.onLost();
        }
        replica.onOrderRefused(order, retryAtMs(replica, failure, nowMs));
        if (order.kind() == EngineOrder.Kind.LOAD) {
            ledger.cancel(order.model());
            recordRateLimit(order, failure, nowMs);
            recordEvent(EventKind.LOAD_FAILED, replica, failure.message());
        }
    }

    private void markOutcomeUnknown(Replica replica, EngineOrder order, long orderFence, long nowMs) {
        replica.onOrderOutcomeUnknown(order, orderFence, nowMs + backoffMs(replica));
        if (order.kind() == EngineOrder.Kind.LOAD) {
            ledger.onOrderOutcomeUnknown(order.model(), orderFence);
        }
    }

    private void recordRateLimit(EngineOrder order, Failure failure, long nowMs) {
        if (failure.code() == ResultCode.PLATFORM_RATE_LIMITED) {
            loadConcurrencyFor(order.base()).onRateLimited(failure.retryAfterMs(), nowMs);
        }
    }

    private long retryAtMs(Replica replica, Failure failure, long nowMs) {
        return nowMs + Math.max(failure.retryAfterMs(), backoffMs(replica));
    }

    private long backoffMs(Replica replica) {
        return policies.orderBackoff().delayMs(replica.failures() + 1, policies.random());
    }

    LoadConcurrency loadConcurrencyFor(ModelName base) {
        return base == null ? policies.modelLoads() : policies.adapterLoads();
    }

    /** Returns how many loads are in progress, of base models or of adapters. */
    int loadingCount(boolean adapters) {
        return (int) replicas.values().stream()
                .filter(replica -> replica.state() == ReplicaState.LOADING)
                .filter(replica -> (replica.base() != null) == adapters)
                .count();
    }

    /** Returns the memory that will be free once all replicas being unloaded are gone, in MiB. */
    int pendingFreeMb() {
        return replicas.values().stream()
                .filter(Replica::isDrainingOrUnloading)
                .mapToInt(replica -> ledger.usedMb(replica.name()))
                .sum();
    }

    long expectedLoadMs(ModelName name, String version, int memoryMb) {
        return policies.loadTime().expectedMs(tierOf(name, version), memoryMb);
    }

    private CheckpointTier tierOf(ModelName name, String version) {
        CheckpointTier best = CheckpointTier.REMOTE;
        if (!hasReport()) {
            return best;
        }
        for (CachedCheckpoint cached : latest().cached()) {
            boolean same = cached.model().equals(name) && cached.version().equals(version);
            if (same && cached.tier().compareTo(best) < 0) {
                best = cached.tier();
            }
        }
        return best;
    }

    /** Orders a load, for which memory must be reserved. */
    void load(Replica replica, EngineOrder order, long nowMs, List<AgentCommand> commands) {
        replica.onOrderSent(order, nowMs);
        replica.recordLoadConditions(tierOf(order.model(), order.version()), loadingCount(order.base() != null));
        commands.add(new AgentCommand.SendOrder(order));
        recordEvent(EventKind.LOAD_STARTED, replica, order.memoryMb() + " MiB");
    }

    /** Orders an unload. */
    void unload(Replica replica, long nowMs, List<AgentCommand> commands) {
        EngineOrder order =
                new EngineOrder(EngineOrder.Kind.UNLOAD, replica.name(), null, replica.base(), 0, fence.number());
        replica.onOrderSent(order, nowMs);
        commands.add(new AgentCommand.SendOrder(order));
    }

    void recordEvent(EventKind kind, Replica replica, String detail) {
        events.add(new AgentCommand.RecordEvent(
                EventDraft.of(kind).model(replica.name()).detail(detail)));
    }

    /** Adds the events recorded since the last call to the commands. */
    void drainEvents(List<AgentCommand> commands) {
        commands.addAll(events);
        events.clear();
    }
}

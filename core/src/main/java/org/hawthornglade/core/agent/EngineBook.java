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

/** What an agent knows of its engine: its reports, the orders given and the replicas that follow from both. */
final class EngineBook {
    private final AgentPolicies policies;
    private final FenceKeeper fence;
    private final MemoryLedger ledger = new MemoryLedger();
    private final Map<ModelName, Replica> replicas = new TreeMap<>();
    private final List<AgentCommand> events = new ArrayList<>();

    EngineBook(AgentPolicies policies, FenceKeeper fence) {
        this.policies = policies;
        this.fence = fence;
    }

    MemoryLedger ledger() {
        return ledger;
    }

    boolean known() {
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

    /** Returns whether the engine has a base model or an adapter of it, or may have it. */
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

    void reported(EngineReport report, long nowMs) {
        boolean restarted = known() && latest().bootId() != report.bootId();
        if (!ledger.onReport(report)) {
            return;
        }
        report.models().forEach(held -> replica(held.model(), nowMs));
        for (Replica replica : replicas.values()) {
            if (restarted) {
                replica.engineRestarted();
            }
            ReplicaState before = replica.state();
            EngineModel held = ledger.reported(replica.name());
            replica.observe(report, held, ledger.mayHold(replica.name()));
            noteChange(replica, before, nowMs);
        }
        replicas.values()
                .removeIf(replica -> replica.isForgettable(nowMs)
                        && !ledger.mayHold(replica.name())
                        && nowMs - replica.lastUsedAtMs() > AttemptBook.MEMORY_MS);
    }

    private void noteChange(Replica replica, ReplicaState before, long nowMs) {
        ReplicaState after = replica.state();
        if (before == after) {
            return;
        }
        if (after == ReplicaState.READY) {
            replica.use(nowMs);
            learnLoadTime(replica, nowMs);
            record(EventKind.LOAD_FINISHED, replica, "");
        } else if (after == ReplicaState.HALF_PRESENT) {
            record(EventKind.LOAD_FAILED, replica, "the engine has it half present");
        } else if (after == ReplicaState.ABSENT) {
            record(EventKind.UNLOAD_FINISHED, replica, "was " + before);
        }
    }

    private void learnLoadTime(Replica replica, long nowMs) {
        if (replica.loadGivenAtMs() == 0) {
            return;
        }
        int memoryMb = ledger.usedMb(replica.name());
        long durationMs = nowMs - replica.loadGivenAtMs();
        limitFor(replica.base()).onCompleted(memoryMb, durationMs, replica.loadsBeside(), nowMs);
        if (replica.base() == null) {
            policies.loadTime().observe(replica.loadTier(), memoryMb, durationMs);
        }
    }

    /** Raises the fencing number where needed; returns whether other orders may follow. */
    boolean decideFence(long nowMs, List<AgentCommand> commands) {
        commands.addAll(events);
        events.clear();
        fence.decide(latest(), nowMs, commands);
        return known() && fence.isRaised(latest());
    }

    void orderTaken(AgentEvent.OrderTaken taken, long nowMs) {
        EngineOrder order = taken.order();
        if (order.kind() == EngineOrder.Kind.FENCE) {
            fenceRaised(taken, nowMs);
            return;
        }
        Replica replica = replica(order.model(), nowMs);
        if (!replica.isOpen(order)) {
            return;
        }
        if (taken.bootId() != latest().bootId() && !ledger.isPastBoot(taken.bootId())) {
            // A run that has not reported yet: the number is raised there before its reports count.
            inDoubt(replica, order, order.fencingNumber() - 1, nowMs);
            return;
        }
        // What an earlier run took in is gone, or half present in the reports of this one.
        long sequence = taken.bootId() == latest().bootId() ? taken.orderSequence() : 0;
        replica.taken(sequence);
        if (order.kind() == EngineOrder.Kind.LOAD) {
            ledger.onOrderAccepted(order.model(), sequence);
        }
    }

    private void fenceRaised(AgentEvent.OrderTaken taken, long nowMs) {
        if (!fence.raiseTaken(taken, latest(), nowMs, events)) {
            return;
        }
        long number = taken.order().fencingNumber();
        ledger.onFenceRaised(number, taken.orderSequence());
        replicas.values().forEach(replica -> replica.fenced(number));
    }

    void orderFailed(EngineOrder order, Failure failure, long nowMs) {
        if (order.kind() == EngineOrder.Kind.FENCE) {
            fence.raiseFailed(failure, nowMs);
            return;
        }
        Replica replica = replica(order.model(), nowMs);
        if (!replica.isOpen(order)) {
            return;
        }
        if (failure.code() == ResultCode.PLATFORM_OUTCOME_UNKNOWN) {
            inDoubt(replica, order, order.fencingNumber(), nowMs);
            fence.renew();
            return;
        }
        if (failure.code() == ResultCode.STALE_FENCING_NUMBER) {
            fence.lost();
        }
        replica.refused(order, retryAtMs(replica, failure, nowMs));
        if (order.kind() == EngineOrder.Kind.LOAD) {
            ledger.cancel(order.model());
            noteRateLimit(order, failure, nowMs);
            record(EventKind.LOAD_FAILED, replica, failure.message());
        }
    }

    private void inDoubt(Replica replica, EngineOrder order, long lostUnder, long nowMs) {
        replica.inDoubt(order, lostUnder, nowMs + backoffMs(replica));
        if (order.kind() == EngineOrder.Kind.LOAD) {
            ledger.onOrderOutcomeUnknown(order.model(), lostUnder);
        }
    }

    private void noteRateLimit(EngineOrder order, Failure failure, long nowMs) {
        if (failure.code() == ResultCode.PLATFORM_RATE_LIMITED) {
            limitFor(order.base()).onRateLimited(failure.retryAfterMs(), nowMs);
        }
    }

    private long retryAtMs(Replica replica, Failure failure, long nowMs) {
        return nowMs + Math.max(failure.retryAfterMs(), backoffMs(replica));
    }

    private long backoffMs(Replica replica) {
        return policies.orderBackoff().delayMs(replica.failures() + 1, policies.random());
    }

    LoadConcurrency limitFor(ModelName base) {
        return base == null ? policies.modelLoads() : policies.adapterLoads();
    }

    /** Returns how many loads run, of base models or of adapters. */
    int loading(boolean adapters) {
        return (int) replicas.values().stream()
                .filter(replica -> replica.state() == ReplicaState.LOADING)
                .filter(replica -> (replica.base() != null) == adapters)
                .count();
    }

    /** Returns the memory that comes free when all that is leaving has left, in MiB. */
    int leavingMb() {
        return replicas.values().stream()
                .filter(Replica::isLeaving)
                .mapToInt(replica -> ledger.usedMb(replica.name()))
                .sum();
    }

    long expectedLoadMs(ModelName name, String version, int memoryMb) {
        return policies.loadTime().expectedMs(tierOf(name, version), memoryMb);
    }

    private CheckpointTier tierOf(ModelName name, String version) {
        CheckpointTier best = CheckpointTier.REMOTE;
        if (!known()) {
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

    /** Orders a load whose memory is reserved. */
    void load(Replica replica, EngineOrder order, long nowMs, List<AgentCommand> commands) {
        replica.give(order, nowMs);
        replica.noteLoad(tierOf(order.model(), order.version()), loading(order.base() != null));
        commands.add(new AgentCommand.GiveOrder(order));
        record(EventKind.LOAD_STARTED, replica, order.memoryMb() + " MiB");
    }

    /** Orders an unload. */
    void unload(Replica replica, long nowMs, List<AgentCommand> commands) {
        EngineOrder order =
                new EngineOrder(EngineOrder.Kind.UNLOAD, replica.name(), null, replica.base(), 0, fence.number());
        replica.give(order, nowMs);
        commands.add(new AgentCommand.GiveOrder(order));
    }

    void record(EventKind kind, Replica replica, String detail) {
        events.add(new AgentCommand.RecordEvent(
                EventDraft.of(kind).model(replica.name()).detail(detail)));
    }

    /** Hands out the events recorded since the last call. */
    void drainEvents(List<AgentCommand> commands) {
        commands.addAll(events);
        events.clear();
    }
}

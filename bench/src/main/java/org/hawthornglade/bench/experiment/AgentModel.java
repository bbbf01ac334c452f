package org.hawthornglade.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.idle.IdlePlan;
import org.hawthornglade.core.idle.IdlePolicy;
import org.hawthornglade.core.idle.ReplicaCost;
import org.hawthornglade.core.load.EvictionCandidate;
import org.hawthornglade.core.load.EvictionPolicy;
import org.hawthornglade.core.load.LoadCandidate;
import org.hawthornglade.core.load.LoadConcurrency;
import org.hawthornglade.core.load.LoadOrder;
import org.hawthornglade.core.load.ReplicaLoadInput;
import org.hawthornglade.core.load.ReplicaLoadRule;

/** Models the load and idle decisions of one agent for the replicas assigned to its instance. */
final class AgentModel {
    private static final long STEP_DELAY_MS = 20;
    private static final long RATE_LIMIT_RETRY_MS = 500;
    private static final long BLOCKED_RETRY_MS = 1_000;
    private static final double PREWARM_WEIGHT = 0.01;
    private static final double HOUR_MS = 3_600_000;

    final InstanceId instance;
    final FailureDomain domain;
    final int index;
    final int memoryMb;
    final Map<ModelName, ReplicaModel> replicas = new TreeMap<>();
    final EndpointModel endpoint;
    private final VirtualRun run;
    private LoadOrder order;
    private LoadConcurrency concurrency;
    private EvictionPolicy eviction;
    private ReplicaLoadRule loadRule;
    private IdlePolicy idle;
    private int transfers;
    private boolean up = true;
    private boolean instanceAlive = true;
    private long downSinceMs;
    private boolean stepPending;

    AgentModel(VirtualRun run, int index, InstanceId instance, FailureDomain domain, int memoryMb) {
        this.run = run;
        this.index = index;
        this.instance = instance;
        this.domain = domain;
        this.memoryMb = memoryMb;
        this.endpoint = new EndpointModel(run, this);
        resetPolicies();
    }

    // A restarted process has no history.
    private void resetPolicies() {
        PolicySet policies = run.policies();
        order = policies.order().get();
        concurrency = policies.concurrency().get();
        eviction = policies.eviction().get();
        loadRule = policies.loadRule().get();
        idle = policies.idle().get();
    }

    boolean up() {
        return up && instanceAlive;
    }

    /** Returns whether entries have detected that the agent is unreachable. */
    boolean knownUnreachable() {
        return !up() && run.nowMs() - downSinceMs >= VirtualRun.HEARTBEAT_TIMEOUT_MS;
    }

    int committedMb() {
        return replicas.values().stream().mapToInt(ReplicaModel::reservedMb).sum();
    }

    long loadEstimateMs(ReplicaModel replica) {
        return run.loadMs(replica.model, replica.tier);
    }

    /** Records an entry's report of demand. */
    void onDemand(int entry, ModelName model, Demand demand) {
        ReplicaModel replica = replicas.get(model);
        if (!up() || replica == null) {
            return;
        }
        replica.demand[entry] = demand;
        if (replica.state == ReplicaModel.State.ABSENT) {
            requestStep();
        }
    }

    /** Schedules one decision after a short delay, however many events arrive in the meantime. */
    void requestStep() {
        if (stepPending) {
            return;
        }
        stepPending = true;
        run.time().after(STEP_DELAY_MS, () -> {
            stepPending = false;
            step();
        });
    }

    private void stepAt(ReplicaModel replica, long atMs) {
        if (atMs == IdlePlan.NEVER || (replica.stepAtMs >= run.nowMs() && replica.stepAtMs <= atMs)) {
            return;
        }
        replica.stepAtMs = atMs;
        run.time().at(atMs, this::requestStep);
    }

    private void step() {
        if (!up()) {
            return;
        }
        List<LoadCandidate> candidates = new ArrayList<>();
        for (ReplicaModel replica : replicas.values()) {
            if (replica.state == ReplicaModel.State.ABSENT) {
                addIfWanted(replica, candidates);
            }
        }
        int availableMb = freeMb()
                + residents().stream().mapToInt(EvictionCandidate::memoryMb).sum();
        order.order(candidates, availableMb, run.nowMs()).forEach(this::tryLoad);
        replicas.values().stream()
                .filter(replica -> replica.idle(run.nowMs()))
                .toList()
                .forEach(this::unloadIfIdleTooLong);
    }

    private void addIfWanted(ReplicaModel replica, List<LoadCandidate> candidates) {
        Demand demand = replica.totalDemand(run.nowMs());
        if (demand.wanted() > 0 && loadRule.shouldLoad(replica.ordinal, run.loadInput(replica, demand))) {
            if (replica.wantedSinceMs < 0) {
                replica.wantedSinceMs = run.nowMs();
                onNeed(replica);
            }
            candidates.add(candidate(replica, demand.weight(), demand.earliestDeadlineAtMs()));
            return;
        }
        replica.wantedSinceMs = -1;
        if (demand.wanted() > 0) {
            stepAt(replica, run.nowMs() + BLOCKED_RETRY_MS);
        }
        IdlePlan plan = plan(replica);
        if (replica.needs > 0 && run.nowMs() < plan.prewarmAtMs()) {
            stepAt(replica, plan.prewarmAtMs());
        } else if (replica.needs > 0 && run.nowMs() < plan.prewarmUntilMs() && replica.reservedMb() <= freeMb()) {
            candidates.add(candidate(replica, PREWARM_WEIGHT, plan.prewarmUntilMs()));
        }
    }

    private LoadCandidate candidate(ReplicaModel replica, double weight, long deadlineAtMs) {
        return new LoadCandidate(
                replica.name(),
                null,
                replica.reservedMb(),
                loadEstimateMs(replica),
                weight,
                needsPerHour(replica),
                replica.wantedSinceMs < 0 ? run.nowMs() : replica.wantedSinceMs,
                deadlineAtMs);
    }

    private double needsPerHour(ReplicaModel replica) {
        return replica.needs / (1 + run.nowMs() / HOUR_MS);
    }

    private IdlePlan plan(ReplicaModel replica) {
        ReplicaCost cost = new ReplicaCost(replica.model.spec().accelerators(), loadEstimateMs(replica));
        return idle.plan(replica.name(), replica.idleSinceMs, cost);
    }

    void onNeed(ReplicaModel replica) {
        replica.needs++;
        idle.onRequest(replica.name(), run.nowMs());
    }

    int freeMb() {
        int heldMb = replicas.values().stream()
                .filter(ReplicaModel::held)
                .mapToInt(ReplicaModel::reservedMb)
                .sum();
        return memoryMb - heldMb;
    }

    private List<EvictionCandidate> residents() {
        return replicas.values().stream()
                .filter(replica -> replica.idle(run.nowMs()))
                .map(replica -> new EvictionCandidate(
                        replica.name(),
                        replica.reservedMb(),
                        loadEstimateMs(replica),
                        needsPerHour(replica),
                        replica.idleSinceMs))
                .toList();
    }

    private void tryLoad(LoadCandidate candidate) {
        ReplicaModel replica = replicas.get(candidate.name());
        boolean remote = replica.tier == CheckpointTier.REMOTE;
        if (remote && !concurrency.mayStart(transfers, run.nowMs())) {
            stepAt(replica, run.nowMs() + BLOCKED_RETRY_MS);
            return;
        }
        int missingMb = replica.reservedMb() - freeMb();
        boolean inDemand = replica.wantedSinceMs >= 0;
        if (missingMb > 0 && (!inDemand || !evict(missingMb))) {
            return;
        }
        if (!startTransfer(replica)) {
            concurrency.onRateLimited(RATE_LIMIT_RETRY_MS, run.nowMs());
            stepAt(replica, run.nowMs() + RATE_LIMIT_RETRY_MS);
            return;
        }
        replica.prewarmed = !inDemand;
        replica.state = ReplicaModel.State.LOADING;
        replica.loadStartedAtMs = run.nowMs();
        replica.expectedReadyAtMs = run.nowMs() + candidate.expectedLoadMs();
        replica.servedSinceLoad = 0;
        replica.idleAccountedMs = run.nowMs();
        endpoint.reportChange();
    }

    private boolean evict(int missingMb) {
        List<EvictionCandidate> chosen = eviction.choose(residents(), missingMb, run.nowMs());
        chosen.forEach(resident -> unload(replicas.get(resident.name())));
        run.measures().evicted(chosen.size(), run.nowMs());
        return !chosen.isEmpty();
    }

    private boolean startTransfer(ReplicaModel replica) {
        int load = ++replica.load;
        if (replica.tier != CheckpointTier.REMOTE) {
            run.time().after(loadEstimateMs(replica), () -> onLoaded(replica, load));
            return true;
        }
        WeightStoreModel.Transfer transfer =
                new WeightStoreModel.Transfer(replica.model.spec().memoryMb(), () -> onLoaded(replica, load));
        if (!run.store().tryStart(transfer)) {
            return false;
        }
        replica.transfer = transfer;
        transfers++;
        return true;
    }

    private void onLoaded(ReplicaModel replica, int load) {
        if (replica.load != load || replica.state != ReplicaModel.State.LOADING) {
            return;
        }
        if (replica.transfer != null) {
            concurrency.onCompleted(
                    replica.model.spec().memoryMb(), run.nowMs() - replica.loadStartedAtMs, transfers, run.nowMs());
            replica.transfer = null;
            transfers--;
        }
        replica.state = ReplicaModel.State.READY;
        replica.wantedSinceMs = -1;
        if (!replica.prewarmed) {
            replica.idleSinceMs = run.nowMs();
        }
        run.onReady(replica.name());
        endpoint.reportChange();
        requestStep();
    }

    private void unloadIfIdleTooLong(ReplicaModel replica) {
        IdlePlan plan = plan(replica);
        if (plan.loadedAt(run.nowMs())) {
            stepAt(replica, run.nowMs() < plan.unloadAtMs() ? plan.unloadAtMs() : plan.prewarmUntilMs());
            return;
        }
        unload(replica);
        stepAt(replica, plan.prewarmAtMs());
    }

    private void unload(ReplicaModel replica) {
        run.measures().unloaded(replica, run.nowMs());
        drop(replica);
        endpoint.reportChange();
    }

    private void drop(ReplicaModel replica) {
        if (replica.held() && replica.running == 0) {
            run.measures().idle(replica, run.nowMs());
        }
        if (replica.transfer != null) {
            run.store().cancel(replica.transfer);
            replica.transfer = null;
            transfers--;
        }
        replica.load++;
        replica.state = ReplicaModel.State.ABSENT;
        replica.adapters.clear();
        replica.prefixes.clear();
    }

    /** Kills the agent's process: loads in progress are lost, models that the engine had loaded stay. */
    void kill(long restartAfterMs) {
        up = false;
        downSinceMs = run.nowMs();
        endpoint.failRunning();
        replicas.values().stream()
                .filter(replica -> replica.state == ReplicaModel.State.LOADING)
                .forEach(this::drop);
        run.time().after(restartAfterMs, () -> {
            up = true;
            resetPolicies();
            replicas.values().forEach(replica -> replica.wantedSinceMs = -1);
            endpoint.reportChange();
            requestStep();
        });
    }

    /** Removes the instance with all its replicas, and returns them. */
    List<ReplicaModel> reclaim() {
        instanceAlive = false;
        downSinceMs = run.nowMs();
        endpoint.failRunning();
        replicas.values().forEach(this::drop);
        return List.copyOf(replicas.values());
    }

    /** Starts a new instance in place of a reclaimed one. */
    void replace() {
        replicas.clear();
        instanceAlive = true;
        resetPolicies();
        endpoint.reportChange();
    }

    ReplicaLoadInput loadInput(ReplicaModel replica, Demand demand, List<AgentModel> lower) {
        boolean reachable = lower.stream().noneMatch(AgentModel::knownUnreachable);
        int loaded = 0;
        int slots = 0;
        long readyInMs = Long.MAX_VALUE;
        for (AgentModel agent : lower) {
            ReplicaModel other = agent.replicas.get(replica.name());
            if (!agent.up() || other == null || !other.held()) {
                continue;
            }
            loaded++;
            slots += other.model.spec().maxConcurrent();
            long inMs = other.ready() ? 0 : Math.max(0, other.expectedReadyAtMs - run.nowMs());
            readyInMs = Math.min(readyInMs, inMs);
        }
        return new ReplicaLoadInput(
                demand.wanted(),
                reachable,
                loaded,
                loaded == 0 ? 0 : readyInMs,
                slots,
                VirtualRun.EXPECTED_SERVICE_MS,
                loadEstimateMs(replica),
                demand.earliestDeadlineAtMs() == Long.MAX_VALUE
                        ? Long.MAX_VALUE
                        : demand.earliestDeadlineAtMs() - run.nowMs());
    }
}

package org.hawthornglade.bench.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.load.AdapterLoadLimit;
import org.hawthornglade.core.load.LoadConcurrency;
import org.hawthornglade.core.result.ResultCode;

/** Models the running requests, adapter loads and delayed reports of one endpoint. */
final class EndpointModel {
    private static final long ROUND_TRIP_MS = 2;
    private static final long REPORT_EVERY_MS = 20;
    private static final double PREFIX_HIT_SHARE = 0.7;

    private final VirtualRun run;
    private final AgentModel agent;
    private final LoadConcurrency adapterLimit;
    private final Deque<Runnable> waitingAdapters = new ArrayDeque<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private int adaptersInFlight;
    private boolean reportPending;

    EndpointModel(VirtualRun run, AgentModel agent) {
        this.run = run;
        this.agent = agent;
        this.adapterLimit = run.policies().adapterConcurrency().get();
    }

    /** Runs or refuses a request, and notifies the entry of the outcome. */
    void start(TraceRequest request, EntryModel entry) {
        ReplicaModel replica = agent.replicas.get(request.request().model());
        if (!agent.up()) {
            run.time().after(ROUND_TRIP_MS, () -> entry.onAttemptFailed(request, agent, ResultCode.ENDPOINT_FAILED));
            return;
        }
        if (replica == null || !replica.ready()) {
            run.time().after(ROUND_TRIP_MS, () -> entry.onAttemptFailed(request, agent, ResultCode.MODEL_NOT_LOADED));
            return;
        }
        if (replica.running >= replica.model.spec().maxConcurrent()) {
            run.time().after(ROUND_TRIP_MS, () -> entry.onAttemptFailed(request, agent, ResultCode.AGENT_BUSY));
            return;
        }
        Attempt attempt = new Attempt(request, entry, replica);
        accept(attempt);
        ModelName adapter = request.request().adapter();
        if (adapter == null || replica.adapters.contains(adapter)) {
            serve(attempt);
            return;
        }
        loadAdapter(replica, adapter, () -> serve(attempt));
    }

    private void accept(Attempt attempt) {
        ReplicaModel replica = attempt.replica;
        if (replica.running == 0) {
            run.measures().idle(replica, run.nowMs());
            agent.onNeed(replica);
        }
        replica.running++;
        replica.servedSinceLoad++;
        replica.prewarmed = false;
        replica.runningOf[attempt.entry.index()]++;
        attempts.add(attempt);
        reportChange();
    }

    private void loadAdapter(ReplicaModel replica, ModelName adapter, Runnable then) {
        if (!adapterLimit.mayStart(adaptersInFlight, run.nowMs())) {
            waitingAdapters.add(() -> loadAdapter(replica, adapter, then));
            return;
        }
        adaptersInFlight++;
        double crowding = Math.max(1, (double) adaptersInFlight / AdapterLoadLimit.MAX_IN_FLIGHT);
        run.time().after((long) (run.deployment().adapterLoadMs() * crowding), () -> {
            adaptersInFlight--;
            replica.adapters.add(adapter);
            then.run();
            if (!waitingAdapters.isEmpty()) {
                waitingAdapters.poll().run();
            }
        });
    }

    private void serve(Attempt attempt) {
        boolean hit = attempt.request.prefixHash() != 0 && attempt.replica.touchPrefix(attempt.request.prefixHash());
        run.measures().prefix(hit, run.nowMs());
        double share = hit ? PREFIX_HIT_SHARE : 1;
        long serviceMs = Math.round(attempt.request.serviceMs() * share);
        run.time().after(serviceMs, () -> finish(attempt, serviceMs));
    }

    private void finish(Attempt attempt, long serviceMs) {
        if (!attempts.remove(attempt)) {
            return;
        }
        leave(attempt);
        attempt.entry.onCompleted(attempt.request, agent, serviceMs);
        if (attempt.replica.running == 0) {
            agent.requestStep();
        }
    }

    private void leave(Attempt attempt) {
        ReplicaModel replica = attempt.replica;
        replica.running--;
        replica.runningOf[attempt.entry.index()]--;
        if (replica.running == 0) {
            replica.idleSinceMs = run.nowMs();
            replica.idleAccountedMs = run.nowMs();
        }
        reportChange();
    }

    void failRunning() {
        List<Attempt> failed = List.copyOf(attempts);
        attempts.clear();
        failed.forEach(this::leave);
        failed.forEach(attempt -> run.time()
                .after(
                        ROUND_TRIP_MS,
                        () -> attempt.entry.onAttemptFailed(attempt.request, agent, ResultCode.ENDPOINT_FAILED)));
    }

    /** Reports a change to the entries, after the report delay. */
    void reportChange() {
        if (reportPending) {
            return;
        }
        reportPending = true;
        run.time().after(REPORT_EVERY_MS, () -> {
            reportPending = false;
            AgentReportModel report = snapshot();
            run.time().after(run.reportLagMs(), () -> run.deliver(agent, report));
        });
    }

    private AgentReportModel snapshot() {
        Map<ModelName, AgentReportModel.ReplicaView> views = new HashMap<>();
        for (ReplicaModel replica : agent.replicas.values()) {
            views.put(
                    replica.name(),
                    new AgentReportModel.ReplicaView(
                            replica.ready(),
                            replica.running,
                            Arrays.stream(replica.runningOf).boxed().toList(),
                            replica.state == ReplicaModel.State.LOADING ? replica.expectedReadyAtMs : -1,
                            agent.loadEstimateMs(replica),
                            Set.copyOf(replica.adapters)));
        }
        return new AgentReportModel(views);
    }

    /** A running request; not a record, as instances are compared by identity. */
    private static final class Attempt {
        private final TraceRequest request;
        private final EntryModel entry;
        private final ReplicaModel replica;

        Attempt(TraceRequest request, EntryModel entry, ReplicaModel replica) {
            this.request = request;
            this.entry = entry;
            this.replica = replica;
        }
    }
}

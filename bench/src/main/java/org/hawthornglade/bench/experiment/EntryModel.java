package org.hawthornglade.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.hawthornglade.core.admission.AdmissionQueue;
import org.hawthornglade.core.admission.AdmissionWeights;
import org.hawthornglade.core.admission.QueueDemand;
import org.hawthornglade.core.admission.Refusal;
import org.hawthornglade.core.admission.ServiceEstimate;
import org.hawthornglade.core.admission.WaitingRequest;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.retry.Backoff;
import org.hawthornglade.core.retry.RetryBudget;
import org.hawthornglade.core.routing.EndpointChooser;
import org.hawthornglade.core.routing.EndpointView;
import org.hawthornglade.core.routing.RouteQuery;

/** Models the admission and routing decisions of one entry, based on the agents' reports. */
final class EntryModel {
    private static final long DEMAND_DELAY_MS = 10;
    private static final long TICK_MS = 1_000;
    private static final long REJECTED_COUNT_WINDOW_MS = 300_000;
    private static final long UNREACHABLE_READY_IN_MS = 60_000;
    private static final int FIXED_RETRIES = 3;
    private static final double RETRY_SHARE = 0.2;
    private static final double RETRY_BURST = 50;
    private static final double NEW_SERVICE_SHARE = 0.1;
    private static final Backoff BACKOFF = new Backoff(50, 2_000);

    private final VirtualRun run;
    private final int index;
    private final FailureDomain domain;
    private final AdmissionQueue queue;
    private final AdmissionWeights weights;
    private final EndpointChooser chooser;
    private final SplittableRandom random;
    private final RetryBudget budget = new RetryBudget(RETRY_SHARE, RETRY_BURST);
    private final Map<AgentModel, AgentReportModel> reports = new HashMap<>();
    private final Map<AgentModel, Map<ModelName, Integer>> inFlight = new HashMap<>();
    private final Map<RequestId, TraceRequest> waiting = new HashMap<>();
    private final Map<RequestId, Integer> failures = new HashMap<>();
    private final Map<ModelName, RejectedDemand> rejected = new HashMap<>();
    private final Map<ModelName, Double> serviceMs = new HashMap<>();
    private final TreeSet<ModelName> pendingDemand = new TreeSet<>();
    private final TreeSet<ModelName> waitedFor = new TreeSet<>();
    private boolean ticking;

    EntryModel(VirtualRun run, int index, FailureDomain domain, AdmissionWeights weights, long seed) {
        this.run = run;
        this.index = index;
        this.domain = domain;
        this.weights = weights;
        this.queue = run.policies().admission().apply(weights);
        this.chooser = run.policies().chooser().get();
        this.random = new SplittableRandom(seed);
    }

    int index() {
        return index;
    }

    void onArrival(TraceRequest request) {
        budget.onRequest();
        admit(request);
        tickLater();
    }

    private void admit(TraceRequest request) {
        ModelName model = request.request().model();
        waiting.put(request.request().id(), request);
        queue.offer(request.request(), estimate(model), run.nowMs())
                .peekLeft(failure -> onRefused(new Refusal(request.request(), failure)));
        dispatch(model);
        reportDemand(model);
        if (queue.size(model) > 0) {
            waitedFor.add(model);
        }
    }

    private void onRefused(Refusal refusal) {
        TraceRequest request = waiting.remove(refusal.request().id());
        Failure failure = refusal.failure();
        run.measures().refused(request, failure.code(), run.nowMs());
        ModelName model = refusal.request().model();
        if (readyViews(model, null).isEmpty()) {
            rejected.computeIfAbsent(model, name -> new RejectedDemand())
                    .add(weights.weightOf(refusal.request().serviceClass()), run.nowMs() + REJECTED_COUNT_WINDOW_MS);
        }
    }

    private ServiceEstimate estimate(ModelName model) {
        List<EndpointView> ready = readyViews(model, null);
        long service = Math.max(1, Math.round(serviceMs.getOrDefault(model, (double) VirtualRun.EXPECTED_SERVICE_MS)));
        // A burst reaches all entries alike, so the other entries' queues are assumed to be as long as this one.
        int others = queue.size(model) * (run.deployment().entries() - 1);
        if (!ready.isEmpty()) {
            int slots = ready.stream().mapToInt(EndpointView::maxConcurrent).sum();
            int busy = ready.stream().mapToInt(EndpointView::expectedRunning).sum();
            return new ServiceEstimate(0, service, slots, busy + others);
        }
        long readyInMs = Long.MAX_VALUE;
        for (AgentModel holder : run.holders(model)) {
            AgentReportModel.ReplicaView view = viewOf(holder, model);
            if (view != null && !holder.knownUnreachable()) {
                long inMs = view.readyAtMs() < 0 ? view.loadEstimateMs() : view.readyAtMs() - run.nowMs();
                readyInMs = Math.min(readyInMs, Math.max(0, inMs));
            }
        }
        readyInMs = readyInMs == Long.MAX_VALUE ? UNREACHABLE_READY_IN_MS : readyInMs;
        return new ServiceEstimate(readyInMs, service, run.slotsOf(model), others);
    }

    private AgentReportModel.ReplicaView viewOf(AgentModel agent, ModelName model) {
        AgentReportModel report = reports.get(agent);
        return report == null ? null : report.replicas().get(model);
    }

    private List<EndpointView> readyViews(ModelName model, ModelName adapter) {
        List<EndpointView> views = new ArrayList<>();
        for (AgentModel holder : run.holders(model)) {
            AgentReportModel.ReplicaView view = viewOf(holder, model);
            if (view == null || !view.ready() || holder.knownUnreachable()) {
                continue;
            }
            views.add(new EndpointView(
                    holder.instance,
                    holder.domain,
                    ownInFlight(holder, model),
                    view.runningOf().get(index),
                    view.running(),
                    run.slotsOf(model),
                    adapter != null && view.adapters().contains(adapter)));
        }
        return views;
    }

    private boolean anyReady(ModelName model) {
        for (AgentModel holder : run.holders(model)) {
            AgentReportModel.ReplicaView view = viewOf(holder, model);
            if (view != null && view.ready() && !holder.knownUnreachable()) {
                return true;
            }
        }
        return false;
    }

    private int ownInFlight(AgentModel agent, ModelName model) {
        return inFlight.getOrDefault(agent, Map.of()).getOrDefault(model, 0);
    }

    private void dispatch(ModelName model) {
        RouteQuery anyRequest = new RouteQuery(domain, null, 0);
        while (queue.size(model) > 0
                && chooser.choose(anyRequest, readyViews(model, null), random).isPresent()) {
            WaitingRequest next = queue.next(model, run.nowMs()).orElse(null);
            if (next == null) {
                return;
            }
            send(waiting.remove(next.id()));
        }
    }

    private void send(TraceRequest request) {
        WaitingRequest waited = request.request();
        RouteQuery query = new RouteQuery(domain, waited.adapter(), request.prefixHash());
        EndpointView chosen = chooser.choose(query, readyViews(waited.model(), waited.adapter()), random)
                .orElseThrow();
        AgentModel agent = run.agent(chosen.instance());
        inFlight.computeIfAbsent(agent, any -> new HashMap<>()).merge(waited.model(), 1, Integer::sum);
        agent.endpoint.start(request, this);
    }

    void onCompleted(TraceRequest request, AgentModel agent, long ranMs) {
        ModelName model = request.request().model();
        inFlight.get(agent).merge(model, -1, Integer::sum);
        serviceMs.merge(model, (double) ranMs, (old, now) -> old + NEW_SERVICE_SHARE * (now - old));
        failures.remove(request.request().id());
        run.measures().completed(request, run.nowMs());
        dispatch(model);
        reportDemand(model);
    }

    void onAttemptFailed(TraceRequest request, AgentModel agent, ResultCode code) {
        inFlight.get(agent).merge(request.request().model(), -1, Integer::sum);
        int failed = failures.merge(request.request().id(), 1, Integer::sum);
        boolean retry = run.policies().retryBudget() ? budget.tryRetry() : failed <= FIXED_RETRIES;
        if (!retry) {
            run.measures().refused(request, code, run.nowMs());
            return;
        }
        run.time().after(BACKOFF.delayMs(failed, random), () -> admit(request));
        tickLater();
    }

    void onReport(AgentModel agent, AgentReportModel report) {
        reports.put(agent, report);
        for (ModelName model : report.replicas().keySet()) {
            if (queue.size(model) > 0) {
                dispatch(model);
                shed(model);
                reportDemand(model);
            } else if (rejected.containsKey(model)) {
                reportDemand(model);
            }
        }
    }

    void onLost(AgentModel agent) {
        reports.remove(agent);
    }

    private void shed(ModelName model) {
        queue.shed(model, estimate(model), run.nowMs()).forEach(this::onRefused);
    }

    private void reportDemand(ModelName model) {
        if (!pendingDemand.add(model)) {
            return;
        }
        run.time().after(DEMAND_DELAY_MS, () -> {
            pendingDemand.remove(model);
            Demand demand = demand(model);
            run.holders(model).forEach(holder -> holder.onDemand(index, model, demand));
        });
    }

    private Demand demand(ModelName model) {
        QueueDemand queued = queue.demand(model, run.nowMs());
        RejectedDemand recent = rejected.getOrDefault(model, new RejectedDemand());
        if (anyReady(model) || recent.untilMs <= run.nowMs()) {
            rejected.remove(model);
            recent = new RejectedDemand();
        }
        long deadlineAtMs = queued.queued() == 0 ? Long.MAX_VALUE : run.nowMs() + queued.earliestDeadlineInMs();
        return new Demand(
                queued.queued(), recent.count, recent.untilMs, queued.waitingWeight() + recent.weight, deadlineAtMs);
    }

    private void tickLater() {
        if (ticking) {
            return;
        }
        ticking = true;
        run.time().after(TICK_MS, this::tick);
    }

    private void tick() {
        ticking = false;
        queue.expire(run.nowMs()).forEach(this::onRefused);
        for (ModelName model : List.copyOf(waitedFor)) {
            shed(model);
            dispatch(model);
            reportDemand(model);
            if (queue.size(model) == 0) {
                waitedFor.remove(model);
            }
        }
        if (!waitedFor.isEmpty()) {
            tickLater();
        }
    }

    /** Requests rejected with a retry-after time because their model was not ready. */
    private static final class RejectedDemand {
        private int count;
        private double weight;
        private long untilMs;

        void add(double more, long until) {
            count++;
            weight += more;
            untilMs = until;
        }
    }
}

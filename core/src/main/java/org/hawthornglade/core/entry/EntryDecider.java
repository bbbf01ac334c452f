package org.hawthornglade.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hawthornglade.core.Decider;
import org.hawthornglade.core.admission.AdmissionWeights;
import org.hawthornglade.core.admission.Admitted;
import org.hawthornglade.core.admission.Refusal;
import org.hawthornglade.core.admission.ServiceEstimate;
import org.hawthornglade.core.admission.WaitingRequest;
import org.hawthornglade.core.chart.AttemptState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.routing.EndpointView;
import org.hawthornglade.core.routing.RouteQuery;

/** Decides for one entry which requests wait, where each is sent, and which are refused and when. */
public final class EntryDecider implements Decider<EntryEvent, EntryCommand> {
    /** The latest time after its deadline at which a running request is answered, in milliseconds. */
    public static final long CANCEL_TIMEOUT_MS = 1_000;

    private static final long STOPPING_RETRY_AFTER_MS = 1_000;
    /** How many requests of a queue may be deferred outside it, waiting for an adapter or a retry. */
    private static final int MAX_DEFERRED = 64;

    private final EntryPolicy policy;
    private final Map<RequestId, TrackedRequest> queued = new LinkedHashMap<>();
    private final Map<RequestId, TrackedRequest> deferred = new LinkedHashMap<>();
    private final Map<AttemptId, OpenAttempt> openAttempts = new LinkedHashMap<>();
    private final Map<ModelName, Target> queueTargets = new HashMap<>();
    private final EndpointTable endpoints = new EndpointTable();
    private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
    private final ModelDemandTracker demand = new ModelDemandTracker();
    private Configuration configuration = Configuration.empty();
    private boolean stopping;
    private boolean stopReported;

    /** Creates a decider with the given policies. */
    public EntryDecider(EntryPolicy policy) {
        this.policy = policy;
    }

    /** Creates a decider with the standard policies. */
    public EntryDecider(FailureDomain domain, RandomGenerator random) {
        this(EntryPolicy.standard(domain, random));
    }

    @Override
    public List<EntryCommand> on(EntryEvent event, long nowMs) {
        List<EntryCommand> commands = new ArrayList<>();
        handle(event, nowMs, commands);
        refuseOverdue(nowMs, commands);
        dispatch(nowMs, commands);
        publishDemand(event instanceof EntryEvent.Tick, nowMs, commands);
        finishStop(commands);
        return commands;
    }

    private void handle(EntryEvent event, long nowMs, List<EntryCommand> commands) {
        if (event instanceof EntryEvent.RequestArrived arrived) {
            onArrived(arrived.request(), nowMs, commands);
        } else if (event instanceof EntryEvent.RequestAbandoned abandoned) {
            onRequestAbandoned(abandoned.request(), nowMs, commands);
        } else if (event instanceof EntryEvent.AttemptClaimed claimed) {
            Optional.ofNullable(openAttempts.get(claimed.attempt())).ifPresent(OpenAttempt::onClaimed);
        } else if (event instanceof EntryEvent.AttemptEnded ended) {
            onAttemptEnded(ended.attempt(), ended.outcome(), nowMs, commands);
        } else if (event instanceof EntryEvent.AgentReported reported) {
            endpoints.onReport(reported.view());
        } else if (event instanceof EntryEvent.AgentLost lost) {
            endpoints.onLost(lost.instance());
        } else if (event instanceof EntryEvent.InstancesListed listed) {
            endpoints.onListed(listed.instances());
        } else if (event instanceof EntryEvent.InstanceDraining draining) {
            endpoints.markDraining(draining.instance(), nowMs);
        } else if (event instanceof EntryEvent.ConfigurationApplied applied) {
            configuration = applied.configuration();
            policy.queue().configure(AdmissionWeights.of(configuration));
        } else if (event instanceof EntryEvent.StopRequested) {
            stopping = true;
        } else if (event instanceof EntryEvent.Tick) {
            shed(nowMs, commands);
        }
    }

    private void onArrived(IncomingRequest request, long nowMs, List<EntryCommand> commands) {
        TrackedRequest tracked = new TrackedRequest(request);
        commands.add(recordEvent(EventKind.REQUEST_RECEIVED, tracked, ResultCode.OK, ""));
        demand.onReceived(tracked, nowMs);
        policy.retries().onRequest();
        if (stopping) {
            Failure failure =
                    Failure.retryAfter(ResultCode.STOPPING, "this entry is stopping", STOPPING_RETRY_AFTER_MS);
            refuse(tracked, failure, nowMs, commands);
            return;
        }
        queueTargets.put(tracked.queue(), request.target());
        policy.queue()
                .offer(tracked.toWaiting(), estimate(tracked.queue(), nowMs), nowMs)
                .peek(admitted -> admit(tracked, admitted, commands))
                .peekLeft(failure -> refuse(tracked, failure, nowMs, commands));
    }

    private void admit(TrackedRequest tracked, Admitted admitted, List<EntryCommand> commands) {
        queued.put(tracked.id(), tracked);
        commands.add(recordEvent(
                EventKind.REQUEST_QUEUED,
                tracked,
                ResultCode.OK,
                "expected to complete in " + admitted.completionInMs() + " ms"));
    }

    private void onRequestAbandoned(RequestId id, long nowMs, List<EntryCommand> commands) {
        if (queued.remove(id) != null) {
            policy.queue().remove(id);
        }
        deferred.remove(id);
        for (OpenAttempt attempt : openAttempts.values()) {
            if (attempt.tracked().id().equals(id)) {
                cancel(attempt, nowMs, commands);
            }
        }
    }

    private void onAttemptEnded(AttemptId id, AttemptOutcome outcome, long nowMs, List<EntryCommand> commands) {
        OpenAttempt attempt = openAttempts.remove(id);
        if (attempt == null) {
            return;
        }
        TrackedRequest tracked = attempt.tracked();
        endpoints.onEnded(attempt.instance(), tracked.queue());
        attempt.onEnded(outcome);
        tracked.recordMayHaveRun(outcome.execution() != Execution.NOT_RUN);
        if (outcome.isComplete()) {
            serviceTimes.observe(tracked.queue(), attempt.elapsedMs(nowMs), nowMs);
            commands.add(recordEvent(EventKind.REQUEST_ANSWERED, tracked, ResultCode.OK, ""));
            return;
        }
        updateEndpoint(attempt, outcome, nowMs, commands);
        if (OutcomeRules.mayRetry(tracked, outcome, nowMs) && policy.retries().tryRetry()) {
            scheduleRetry(tracked, outcome.failure(), nowMs, commands);
            return;
        }
        refuse(tracked, OutcomeRules.finalFailure(tracked.request(), outcome, nowMs), nowMs, commands);
    }

    /** Updates the state of an endpoint after a failed attempt and stops the attempt there if it may still run. */
    private void updateEndpoint(OpenAttempt attempt, AttemptOutcome outcome, long nowMs, List<EntryCommand> commands) {
        boolean sent = attempt.state() != AttemptState.NOT_RUN;
        if (outcome.execution() == Execution.NOT_RUN) {
            ResultCode code = outcome.failure().code();
            if (code == ResultCode.AGENT_DRAINING || code == ResultCode.NO_ENDPOINT) {
                endpoints.avoid(attempt.instance(), nowMs);
            }
            return;
        }
        if (!sent) {
            return;
        }
        if (!attempt.isCancelled()) {
            endpoints.avoid(attempt.instance(), nowMs);
        }
        commands.add(new EntryCommand.StopAtAgent(attempt.id(), attempt.instance()));
    }

    private void scheduleRetry(TrackedRequest tracked, Failure cause, long nowMs, List<EntryCommand> commands) {
        tracked.deferUntil(nowMs + policy.backoff().delayMs(tracked.attempts(), policy.random()));
        deferred.put(tracked.id(), tracked);
        commands.add(recordEvent(EventKind.REQUEST_RETRIED, tracked, cause.code(), cause.message()));
    }

    private void shed(long nowMs, List<EntryCommand> commands) {
        for (ModelName queue : queueTargets.keySet()) {
            if (policy.queue().size(queue) > 0) {
                refuseAll(policy.queue().shed(queue, estimate(queue, nowMs), nowMs), nowMs, commands);
            }
        }
    }

    private void refuseOverdue(long nowMs, List<EntryCommand> commands) {
        refuseAll(policy.queue().expire(nowMs), nowMs, commands);
        for (TrackedRequest tracked : List.copyOf(deferred.values())) {
            if (tracked.isOverdue(nowMs)) {
                deferred.remove(tracked.id());
                Failure failure = Failure.retryAfter(
                        ResultCode.DEADLINE_PASSED_WAITING,
                        "no endpoint was ready before the deadline",
                        OutcomeRules.RETRY_AFTER_MS);
                refuse(tracked, failure, nowMs, commands);
            }
        }
        for (OpenAttempt attempt : List.copyOf(openAttempts.values())) {
            if (attempt.cancelledForMs(nowMs) >= CANCEL_TIMEOUT_MS) {
                abandon(attempt, nowMs, commands);
            } else if (attempt.tracked().isOverdue(nowMs) && !attempt.isCancelled()) {
                cancel(attempt, nowMs, commands);
            }
        }
    }

    private void refuseAll(List<Refusal> refusals, long nowMs, List<EntryCommand> commands) {
        for (Refusal refusal : refusals) {
            TrackedRequest tracked = queued.remove(refusal.request().id());
            refuse(tracked, refusal.failure(), nowMs, commands);
        }
    }

    private static void cancel(OpenAttempt attempt, long nowMs, List<EntryCommand> commands) {
        if (!attempt.isCancelled()) {
            attempt.cancel(nowMs);
            commands.add(new EntryCommand.CancelAttempt(attempt.id(), attempt.instance()));
        }
    }

    /** Answers a request whose attempt was not reported as ended in time, so that its outcome is unknown. */
    private void abandon(OpenAttempt attempt, long nowMs, List<EntryCommand> commands) {
        openAttempts.remove(attempt.id());
        endpoints.onEnded(attempt.instance(), attempt.tracked().queue());
        commands.add(new EntryCommand.StopAtAgent(attempt.id(), attempt.instance()));
        refuse(attempt.tracked(), OutcomeRules.deadlinePassedRunning(), nowMs, commands);
    }

    private void dispatch(long nowMs, List<EntryCommand> commands) {
        for (TrackedRequest tracked : List.copyOf(deferred.values())) {
            if (nowMs >= tracked.notBeforeMs()) {
                chooseInstance(tracked, nowMs).ifPresent(instance -> {
                    deferred.remove(tracked.id());
                    send(tracked, instance, nowMs, commands);
                });
            }
        }
        queueTargets.forEach((queue, target) -> dispatchQueue(queue, target, nowMs, commands));
    }

    private void dispatchQueue(ModelName queue, Target target, long nowMs, List<EntryCommand> commands) {
        while (policy.queue().size(queue) > 0 && hasFreeSlot(target, nowMs) && deferredCount(queue) < MAX_DEFERRED) {
            Optional<WaitingRequest> next = policy.queue().next(queue, nowMs);
            if (next.isEmpty()) {
                return;
            }
            TrackedRequest tracked = queued.remove(next.get().id());
            Optional<InstanceId> instance = chooseInstance(tracked, nowMs);
            if (instance.isPresent()) {
                send(tracked, instance.get(), nowMs, commands);
            } else {
                deferred.put(tracked.id(), tracked);
            }
        }
    }

    private boolean hasFreeSlot(Target target, long nowMs) {
        return endpoints.candidates(target, nowMs).stream().anyMatch(EndpointView::hasFreeSlot);
    }

    private long deferredCount(ModelName queue) {
        return deferred.values().stream()
                .filter(tracked -> tracked.queue().equals(queue))
                .count();
    }

    private Optional<InstanceId> chooseInstance(TrackedRequest tracked, long nowMs) {
        List<EndpointView> capable = endpoints.candidates(tracked.request().target(), nowMs).stream()
                .filter(EndpointView::adapterLoaded)
                .toList();
        List<EndpointView> untried = capable.stream()
                .filter(view -> !tracked.wasTriedAt(view.instance()))
                .toList();
        RouteQuery query = new RouteQuery(policy.domain(), tracked.adapter(), 0);
        return policy.chooser()
                .choose(query, untried.isEmpty() ? capable : untried, policy.random())
                .map(EndpointView::instance);
    }

    private void send(TrackedRequest tracked, InstanceId instance, long nowMs, List<EntryCommand> commands) {
        AttemptId attempt = tracked.startAttempt(instance);
        openAttempts.put(attempt, new OpenAttempt(attempt, tracked, instance, nowMs));
        endpoints.onSent(instance, tracked.queue());
        commands.add(new EntryCommand.Dispatch(tracked.id(), attempt, instance));
        commands.add(new EntryCommand.RecordEvent(draft(EventKind.REQUEST_DISPATCHED, tracked, ResultCode.OK)
                .attempt(attempt)
                .instance(instance)
                .detail("waited " + (nowMs - tracked.request().arrivedAtMs()) + " ms")));
    }

    private void refuse(TrackedRequest tracked, Failure cause, long nowMs, List<EntryCommand> commands) {
        Failure failure = OutcomeRules.withoutFalseNotRun(tracked, cause, nowMs);
        if (failure.code() == ResultCode.DEADLINE_NOT_REACHABLE) {
            demand.onRetryAfter(tracked, failure.retryAfterMs(), nowMs);
        }
        commands.add(new EntryCommand.Refuse(tracked.id(), failure));
        commands.add(recordEvent(EventKind.REQUEST_REFUSED, tracked, failure.code(), failure.message()));
    }

    private ServiceEstimate estimate(ModelName queue, long nowMs) {
        return endpoints.estimate(queueTargets.get(queue), serviceTimes.expectedMs(queue, nowMs), nowMs);
    }

    private void publishDemand(boolean anyChange, long nowMs, List<EntryCommand> commands) {
        List<TrackedRequest> waiting = new ArrayList<>(queued.values());
        waiting.addAll(deferred.values());
        demand.toPublish(waiting, openAttempts.values(), anyChange, nowMs)
                .ifPresent(changed -> commands.add(new EntryCommand.PublishDemand(changed)));
    }

    private void finishStop(List<EntryCommand> commands) {
        if (stopping && !stopReported && queued.isEmpty() && deferred.isEmpty() && openAttempts.isEmpty()) {
            stopReported = true;
            commands.add(new EntryCommand.StopFinished());
        }
    }

    private EntryCommand recordEvent(EventKind kind, TrackedRequest tracked, ResultCode code, String detail) {
        return new EntryCommand.RecordEvent(draft(kind, tracked, code).detail(detail));
    }

    private EventDraft draft(EventKind kind, TrackedRequest tracked, ResultCode code) {
        return EventDraft.of(kind)
                .request(tracked.id())
                .model(tracked.request().target().name())
                .configVersion(configuration.version())
                .code(code);
    }
}

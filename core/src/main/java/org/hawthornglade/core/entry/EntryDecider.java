package org.hawthornglade.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hawthornglade.core.Decider;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** All decisions of one entry: which requests wait, where each is sent, which are refused and when. */
public final class EntryDecider implements Decider<EntryEvent, EntryCommand> {
    private static final int MAX_ATTEMPTS = 4;
    private static final long COME_BACK_MS = 2_000;
    private static final long STOP_COME_BACK_MS = 1_000;

    private final LinkedHashMap<RequestId, IncomingRequest> waiting = new LinkedHashMap<>();
    private final Map<AttemptId, OpenAttempt> open = new HashMap<>();
    private final Map<RequestId, Integer> attemptCounts = new HashMap<>();
    private final Map<ModelName, ModelUse> uses = new TreeMap<>();
    private final EndpointTable endpoints = new EndpointTable();
    private Configuration configuration = Configuration.empty();
    private List<ModelDemand> published = List.of();
    private boolean stopping;
    private boolean stopReported;

    @Override
    public List<EntryCommand> on(EntryEvent event, long nowMs) {
        List<EntryCommand> commands = new ArrayList<>();
        take(event, nowMs, commands);
        refuseOverdue(nowMs, commands);
        dispatch(nowMs, commands);
        publishDemand(nowMs, commands);
        finishStop(commands);
        return commands;
    }

    private void take(EntryEvent event, long nowMs, List<EntryCommand> commands) {
        if (event instanceof EntryEvent.RequestArrived arrived) {
            arrived(arrived.request(), nowMs, commands);
        } else if (event instanceof EntryEvent.RequestAbandoned abandoned) {
            abandoned(abandoned.request(), commands);
        } else if (event instanceof EntryEvent.AttemptEnded ended) {
            ended(ended.attempt(), ended.outcome(), nowMs, commands);
        } else if (event instanceof EntryEvent.AgentReported reported) {
            endpoints.reported(reported.view());
        } else if (event instanceof EntryEvent.AgentLost lost) {
            endpoints.lost(lost.instance());
        } else if (event instanceof EntryEvent.InstancesListed listed) {
            endpoints.listed(listed.instances());
        } else if (event instanceof EntryEvent.ConfigurationApplied applied) {
            configuration = applied.configuration();
        } else if (event instanceof EntryEvent.StopRequested) {
            stopping = true;
        }
    }

    private void arrived(IncomingRequest request, long nowMs, List<EntryCommand> commands) {
        commands.add(record(EventKind.REQUEST_RECEIVED, request, ResultCode.OK, ""));
        if (request.target() instanceof Target.OnModel onModel) {
            uses.computeIfAbsent(onModel.base(), model -> new ModelUse()).received(nowMs);
        }
        Optional<Failure> refusal = refusalOf(request);
        if (refusal.isPresent()) {
            refuse(request, refusal.get(), commands);
            return;
        }
        waiting.put(request.id(), request);
    }

    private Optional<Failure> refusalOf(IncomingRequest request) {
        if (stopping) {
            return Optional.of(Failure.retryAfter(ResultCode.STOPPING, "this entry is stopping", STOP_COME_BACK_MS));
        }
        int maxQueued = configuration
                .serviceClass(request.serviceClass())
                .map(ClassSpec::maxQueued)
                .orElse(0);
        long queued = waiting.values().stream()
                .filter(other -> other.serviceClass().equals(request.serviceClass()))
                .count();
        if (queued >= maxQueued) {
            return Optional.of(Failure.retryAfter(ResultCode.QUEUE_FULL, "the queue is full", COME_BACK_MS));
        }
        return Optional.empty();
    }

    private void abandoned(RequestId id, List<EntryCommand> commands) {
        waiting.remove(id);
        for (OpenAttempt attempt : open.values()) {
            if (attempt.request().id().equals(id)) {
                commands.add(new EntryCommand.Abandon(attempt.id(), attempt.instance()));
            }
        }
    }

    private void ended(AttemptId id, AttemptOutcome outcome, long nowMs, List<EntryCommand> commands) {
        OpenAttempt attempt = open.remove(id);
        if (attempt == null) {
            return;
        }
        IncomingRequest request = attempt.request();
        endpoints.ended(attempt.instance(), request.target());
        if (outcome.isComplete()) {
            attemptCounts.remove(request.id());
            commands.add(record(EventKind.REQUEST_ANSWERED, request, ResultCode.OK, ""));
            return;
        }
        if (mayRunAgain(request, outcome, nowMs)) {
            waiting.put(request.id(), request);
            commands.add(record(
                    EventKind.REQUEST_RETRIED,
                    request,
                    outcome.failure().code(),
                    outcome.failure().message()));
            return;
        }
        refuse(request, finalFailure(request, outcome), commands);
    }

    private boolean mayRunAgain(IncomingRequest request, AttemptOutcome outcome, long nowMs) {
        if (outcome.answerBegun() || nowMs >= request.deadlineAtMs()) {
            return false;
        }
        ResultCode code = outcome.failure().code();
        boolean notRun = outcome.execution() == Execution.NOT_RUN && code != ResultCode.CLAIM_NOT_POSSIBLE;
        boolean safe = (notRun && code.comeBack()) || request.idempotent();
        return safe && attemptCounts.getOrDefault(request.id(), 0) < MAX_ATTEMPTS;
    }

    private static Failure finalFailure(IncomingRequest request, AttemptOutcome outcome) {
        if (outcome.execution() == Execution.NOT_RUN) {
            return outcome.failure();
        }
        if (outcome.answerBegun()) {
            return Failure.of(ResultCode.ANSWER_INCOMPLETE, outcome.failure().message());
        }
        if (outcome.failure().code() == ResultCode.CALL_IN_PROGRESS) {
            return outcome.failure();
        }
        ResultCode code = request.idempotent() ? ResultCode.ENDPOINT_FAILED : ResultCode.OUTCOME_UNKNOWN;
        long retryAfterMs = code.comeBack() ? COME_BACK_MS : 0;
        return new Failure(code, outcome.failure().message(), retryAfterMs);
    }

    private void refuseOverdue(long nowMs, List<EntryCommand> commands) {
        List<IncomingRequest> overdue = new ArrayList<>();
        for (IncomingRequest request : waiting.values()) {
            if (nowMs >= request.deadlineAtMs()) {
                overdue.add(request);
            }
        }
        for (IncomingRequest request : overdue) {
            waiting.remove(request.id());
            refuse(
                    request,
                    Failure.retryAfter(
                            ResultCode.DEADLINE_PASSED_WAITING, "no endpoint was ready in time", COME_BACK_MS),
                    commands);
        }
    }

    private void dispatch(long nowMs, List<EntryCommand> commands) {
        for (IncomingRequest request : List.copyOf(waiting.values())) {
            Optional<EndpointTable.Candidate> chosen = endpoints.candidates(request.target()).stream()
                    .min(Comparator.comparingInt(EndpointTable.Candidate::load));
            if (chosen.isPresent()) {
                send(request, chosen.get().instance(), nowMs, commands);
            }
        }
    }

    private void send(IncomingRequest request, InstanceId instance, long nowMs, List<EntryCommand> commands) {
        waiting.remove(request.id());
        int number = attemptCounts.merge(request.id(), 1, Integer::sum);
        AttemptId attempt = AttemptId.of(request.id() + "." + number);
        open.put(attempt, new OpenAttempt(attempt, request, instance));
        endpoints.sent(instance, request.target());
        commands.add(new EntryCommand.Dispatch(request.id(), attempt, instance));
        commands.add(new EntryCommand.RecordEvent(draft(EventKind.REQUEST_DISPATCHED, request, ResultCode.OK)
                .attempt(attempt)
                .instance(instance)
                .detail("waited " + (nowMs - request.arrivedAtMs()) + " ms")));
    }

    private void refuse(IncomingRequest request, Failure failure, List<EntryCommand> commands) {
        attemptCounts.remove(request.id());
        commands.add(new EntryCommand.Refuse(request.id(), failure));
        commands.add(record(EventKind.REQUEST_REFUSED, request, failure.code(), failure.message()));
    }

    private void publishDemand(long nowMs, List<EntryCommand> commands) {
        Map<ModelName, DemandCount> counts = new TreeMap<>();
        uses.forEach((model, use) -> counts.put(model, new DemandCount(model, use)));
        for (IncomingRequest request : waiting.values()) {
            if (request.target() instanceof Target.OnModel onModel) {
                counts.get(onModel.base()).waits(request, onModel.adapter(), nowMs);
            }
        }
        for (OpenAttempt attempt : open.values()) {
            if (attempt.request().target() instanceof Target.OnModel onModel) {
                counts.get(onModel.base()).runs();
            }
        }
        List<ModelDemand> demand =
                counts.values().stream().map(count -> count.toDemand(nowMs)).toList();
        if (!demand.equals(published)) {
            published = demand;
            commands.add(new EntryCommand.PublishDemand(demand));
        }
    }

    private void finishStop(List<EntryCommand> commands) {
        if (stopping && !stopReported && waiting.isEmpty() && open.isEmpty()) {
            stopReported = true;
            commands.add(new EntryCommand.StopFinished());
        }
    }

    private EntryCommand record(EventKind kind, IncomingRequest request, ResultCode code, String detail) {
        return new EntryCommand.RecordEvent(draft(kind, request, code).detail(detail));
    }

    private EventDraft draft(EventKind kind, IncomingRequest request, ResultCode code) {
        return EventDraft.of(kind)
                .request(request.id())
                .model(request.target().name())
                .configVersion(configuration.version())
                .code(code);
    }

    private record OpenAttempt(AttemptId id, IncomingRequest request, InstanceId instance) {}
}

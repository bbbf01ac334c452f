package org.hawthornglade.core.agent;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.Decider;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * All decisions of one agent: which attempts run, what its engine loads and unloads, when a drain is finished.
 *
 * <p>Loads and unloads are decided by {@link ReplicaKeeper}; this class takes events apart and handles attempts.
 */
public final class AgentDecider implements Decider<AgentEvent, AgentCommand> {
    private static final long BUSY_RETRY_MS = 100;

    private final AgentIdentity identity;
    private final AttemptBook attempts = new AttemptBook();
    private final DemandBook demand = new DemandBook();
    private final ReplicaKeeper replicas;
    private Configuration configuration = Configuration.empty();
    private boolean endpointReachable;
    private boolean draining;
    private boolean drainReported;
    private long revision;
    private AgentView published;

    /**
     * Creates the decisions of an agent that knows nothing yet.
     *
     * @param identity who the agent is
     * @param keepAliveMs how long a model stays loaded after its last request, in milliseconds
     */
    public AgentDecider(AgentIdentity identity, long keepAliveMs) {
        this.identity = identity;
        this.replicas = new ReplicaKeeper(attempts, demand, keepAliveMs);
    }

    @Override
    public List<AgentCommand> on(AgentEvent event, long nowMs) {
        List<AgentCommand> commands = new ArrayList<>();
        take(event, nowMs, commands);
        if (identity.servesModels()) {
            replicas.decide(configuration, draining, nowMs, commands);
        }
        finishDrain(commands);
        publish(nowMs, commands);
        return commands;
    }

    private void take(AgentEvent event, long nowMs, List<AgentCommand> commands) {
        if (event instanceof AgentEvent.AttemptArrived arrived) {
            attemptArrived(arrived.attempt(), nowMs, commands);
        } else if (event instanceof AgentEvent.AttemptEnded ended) {
            attemptEnded(ended.attempt(), nowMs);
        } else if (event instanceof AgentEvent.CancelRequested cancel) {
            cancel(cancel.attempt(), nowMs, commands);
        } else if (event instanceof AgentEvent.DemandReported reported) {
            demand.report(reported.entryId(), reported.demand(), nowMs);
        } else if (event instanceof AgentEvent.ConfigurationApplied applied) {
            configuration = applied.configuration();
        } else if (event instanceof AgentEvent.EndpointFound) {
            endpointReachable = true;
        } else if (event instanceof AgentEvent.EndpointLost) {
            endpointReachable = false;
        } else if (event instanceof AgentEvent.DrainRequested drain) {
            drain(drain.reason(), commands);
        } else if (event instanceof AgentEvent.Tick) {
            attempts.forgetOld(nowMs);
            demand.forgetOld(nowMs);
        } else {
            takeEngineEvent(event, nowMs);
        }
    }

    private void takeEngineEvent(AgentEvent event, long nowMs) {
        if (event instanceof AgentEvent.EngineReported reported) {
            endpointReachable = true;
            replicas.reported(reported.report(), nowMs);
        } else if (event instanceof AgentEvent.OrderTaken taken) {
            replicas.orderTaken(taken.order(), taken.orderSequence());
        } else if (event instanceof AgentEvent.OrderFailed failed) {
            replicas.orderFailed(failed.order(), failed.failure(), nowMs);
        } else if (event instanceof AgentEvent.AssignmentsRead read) {
            replicas.assigned(read.assignments());
        } else if (event instanceof AgentEvent.RowReleased released) {
            replicas.released(released.assignment());
        } else if (event instanceof AgentEvent.RowNotReleased notReleased) {
            replicas.notReleased(notReleased.assignment());
        } else if (event instanceof AgentEvent.FenceTaken fence) {
            replicas.fenceTaken(fence.number());
        } else if (event instanceof AgentEvent.FenceLost) {
            replicas.fenceLost();
        }
    }

    private void attemptArrived(AttemptRequest attempt, long nowMs, List<AgentCommand> commands) {
        Failure refusal = refusalOf(attempt, nowMs);
        if (refusal == null) {
            attempts.start(attempt);
            replicas.used(attempt.model(), nowMs);
            commands.add(new AgentCommand.StartAttempt(attempt.id()));
            commands.add(record(EventKind.ATTEMPT_STARTED, attempt, ResultCode.OK, ""));
            return;
        }
        if (!attempts.isRunning(attempt.id()) && !attempts.hasEnded(attempt.id())) {
            attempts.bury(attempt.id(), nowMs);
        }
        commands.add(new AgentCommand.RefuseAttempt(attempt.id(), refusal));
        commands.add(record(EventKind.ATTEMPT_REFUSED, attempt, refusal.code(), refusal.message()));
    }

    /** Returns why an attempt may not start, or null if it may. */
    private Failure refusalOf(AttemptRequest attempt, long nowMs) {
        if (attempts.isRunning(attempt.id()) || attempts.hasEnded(attempt.id())) {
            return Failure.of(ResultCode.DUPLICATE_ATTEMPT, "this attempt was started before");
        }
        if (attempts.isTombstoned(attempt.id())) {
            return Failure.of(ResultCode.ATTEMPT_TOMBSTONED, "this attempt was given up before it came");
        }
        if (draining) {
            return Failure.retryAfter(ResultCode.AGENT_DRAINING, "the instance is leaving", BUSY_RETRY_MS);
        }
        if (nowMs >= attempt.deadlineAtMs()) {
            return Failure.of(ResultCode.DEADLINE_PASSED_WAITING, "the deadline passed on the way");
        }
        if (!identity.servesModels()) {
            return serviceRefusal(attempt);
        }
        return replicas.refusalOf(attempt, configuration);
    }

    private Failure serviceRefusal(AttemptRequest attempt) {
        if (attempt.model() != null) {
            return Failure.retryAfter(ResultCode.MODEL_NOT_LOADED, "no engine runs here", BUSY_RETRY_MS);
        }
        if (attempts.running() >= serviceMaxConcurrent()) {
            return Failure.retryAfter(ResultCode.AGENT_BUSY, "the endpoint runs as much as it may", BUSY_RETRY_MS);
        }
        return null;
    }

    private void attemptEnded(AttemptId id, long nowMs) {
        AttemptRequest ended = attempts.end(id, nowMs);
        if (ended != null) {
            replicas.used(ended.model(), nowMs);
        }
    }

    private void cancel(AttemptId id, long nowMs, List<AgentCommand> commands) {
        if (attempts.isRunning(id)) {
            commands.add(new AgentCommand.StopAttempt(id));
            commands.add(new AgentCommand.AnswerCancel(id, CancelResult.STOPPED));
            return;
        }
        if (attempts.hasEnded(id)) {
            commands.add(new AgentCommand.AnswerCancel(id, CancelResult.ENDED));
            return;
        }
        attempts.bury(id, nowMs);
        commands.add(new AgentCommand.AnswerCancel(id, CancelResult.NEVER_STARTED));
    }

    private void drain(String reason, List<AgentCommand> commands) {
        if (draining) {
            return;
        }
        draining = true;
        commands.add(new AgentCommand.RecordEvent(EventDraft.of(EventKind.DRAIN_STARTED)
                .instance(identity.instance())
                .detail(reason)));
    }

    private void finishDrain(List<AgentCommand> commands) {
        if (!draining || drainReported || attempts.running() > 0) {
            return;
        }
        if (identity.servesModels() && !replicas.nothingHeld()) {
            return;
        }
        drainReported = true;
        commands.add(new AgentCommand.RecordEvent(
                EventDraft.of(EventKind.DRAIN_FINISHED).instance(identity.instance())));
        commands.add(new AgentCommand.DrainFinished());
    }

    private void publish(long nowMs, List<AgentCommand> commands) {
        AgentView view = view(revision, nowMs);
        if (view.equals(published)) {
            return;
        }
        revision++;
        published = view(revision, nowMs);
        commands.add(new AgentCommand.Publish(published));
    }

    private AgentView view(long withRevision, long nowMs) {
        return new AgentView(
                identity.instance(),
                identity.failureDomain(),
                identity.bootId(),
                withRevision,
                configuration.version(),
                draining,
                endpointReachable,
                replicas.views(configuration, nowMs),
                attempts.running(),
                replicas.freeMb(),
                identity.service(),
                serviceMaxConcurrent());
    }

    private int serviceMaxConcurrent() {
        if (identity.servesModels()) {
            return 0;
        }
        return configuration
                .service(identity.service())
                .map(spec -> spec.maxConcurrent())
                .orElse(0);
    }

    private AgentCommand record(EventKind kind, AttemptRequest attempt, ResultCode code, String detail) {
        return new AgentCommand.RecordEvent(EventDraft.of(kind)
                .request(attempt.request())
                .attempt(attempt.id())
                .model(attempt.adapter() != null ? attempt.adapter() : attempt.model())
                .instance(identity.instance())
                .configVersion(configuration.version())
                .code(code)
                .detail(detail));
    }
}

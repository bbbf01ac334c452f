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
 * Decides which attempts of one agent run, what its engine loads and unloads, and when a drain has ended.
 *
 * <p>{@link ReplicaController} decides on loads and unloads; this class dispatches events and handles attempts.
 */
public final class AgentDecider implements Decider<AgentEvent, AgentCommand> {
    private static final long BUSY_RETRY_MS = 100;

    /** A process that handled no event for longer than this, not even a tick, is taken to have been paused. */
    private static final long PAUSE_THRESHOLD_MS = 3_000;

    private final AgentIdentity identity;
    private final AttemptTracker attempts = new AttemptTracker();
    private final DemandTable demand = new DemandTable();
    private final AssignmentTracker rows = new AssignmentTracker();
    private final AgentLimits limits;
    private final AgentPolicies policies;
    private final FenceController fence;
    private final EngineTracker engine;
    private final ReplicaController replicas;
    private final ReplicaViews views;
    private Configuration configuration = Configuration.empty();
    private boolean endpointReachable;
    private boolean draining;
    private boolean drainReported;
    private long drainEndsAtMs;
    private long lastEventAtMs;
    private long revision;
    private AgentView published;

    /**
     * Creates a decider without any state.
     *
     * @param identity the identity of the agent
     * @param policies the policies, which hold state and must not be shared between agents
     * @param limits the limits of the agent
     */
    public AgentDecider(AgentIdentity identity, AgentPolicies policies, AgentLimits limits) {
        this.identity = identity;
        this.limits = limits;
        this.policies = policies;
        this.fence = new FenceController(policies, limits.fenceCheckMaxAgeMs());
        this.engine = new EngineTracker(policies, fence);
        this.replicas = new ReplicaController(engine, rows, fence, attempts, demand, policies);
        this.views = new ReplicaViews(engine, rows, attempts);
    }

    @Override
    public List<AgentCommand> on(AgentEvent event, long nowMs) {
        List<AgentCommand> commands = new ArrayList<>();
        if (nowMs - lastEventAtMs > PAUSE_THRESHOLD_MS && lastEventAtMs > 0) {
            fence.onProcessPaused(nowMs);
        }
        lastEventAtMs = nowMs;
        handle(event, nowMs, commands);
        if (identity.servesModels()) {
            replicas.decide(configuration, draining, nowMs, commands);
        }
        finishDrain(nowMs, commands);
        publish(nowMs, commands);
        return commands;
    }

    private void handle(AgentEvent event, long nowMs, List<AgentCommand> commands) {
        if (event instanceof AgentEvent.AttemptArrived arrived) {
            onAttemptArrived(arrived.attempt(), nowMs, commands);
        } else if (event instanceof AgentEvent.AttemptEnded ended) {
            onAttemptEnded(ended.attempt(), nowMs);
        } else if (event instanceof AgentEvent.CancelRequested cancel) {
            cancel(cancel.attempt(), nowMs, commands);
        } else if (event instanceof AgentEvent.DemandReported reported) {
            demand.onReport(reported, nowMs);
        } else if (event instanceof AgentEvent.ConfigurationApplied applied) {
            configuration = applied.configuration();
            policies.idle().updatePrice(configuration.idle());
        } else if (event instanceof AgentEvent.EndpointFound) {
            endpointReachable = true;
        } else if (event instanceof AgentEvent.EndpointLost) {
            endpointReachable = false;
        } else if (event instanceof AgentEvent.DrainRequested drain) {
            startDrain(drain.reason(), nowMs, commands);
        } else if (event instanceof AgentEvent.Tick) {
            attempts.removeExpired(nowMs);
            demand.removeExpired(nowMs);
        } else {
            handleEngineEvent(event, nowMs);
        }
    }

    private void handleEngineEvent(AgentEvent event, long nowMs) {
        if (event instanceof AgentEvent.EngineReported reported) {
            endpointReachable = true;
            engine.onReport(reported.report(), nowMs);
        } else if (event instanceof AgentEvent.OrderTaken taken) {
            engine.onOrderTaken(taken, nowMs);
        } else if (event instanceof AgentEvent.OrderFailed failed) {
            engine.onOrderFailed(failed.order(), failed.failure(), nowMs);
        } else {
            handleTableEvent(event, nowMs);
        }
    }

    private void handleTableEvent(AgentEvent event, long nowMs) {
        if (event instanceof AgentEvent.AssignmentsRead read) {
            rows.onRead(read.readSequence(), read.rows());
        } else if (event instanceof AgentEvent.RowReleased released) {
            rows.onReleased(released.row());
        } else if (event instanceof AgentEvent.RowNotReleased notReleased) {
            rows.onReleaseFailed(notReleased.row(), nowMs);
        } else if (event instanceof AgentEvent.FenceTaken taken) {
            fence.onTaken(taken.number(), nowMs);
        } else if (event instanceof AgentEvent.FenceChecked checked) {
            fence.onChecked(checked.checkedAtMs());
        } else if (event instanceof AgentEvent.FenceLost) {
            fence.onLost();
        }
    }

    private void onAttemptArrived(AttemptRequest attempt, long nowMs, List<AgentCommand> commands) {
        Failure refusal = refusalOf(attempt, nowMs);
        if (refusal == null) {
            attempts.onStarted(attempt);
            markUsed(attempt, nowMs);
            if (attempt.model() != null) {
                policies.idle().onRequest(attempt.model(), nowMs);
            }
            commands.add(new AgentCommand.StartAttempt(attempt.id()));
            commands.add(recordEvent(EventKind.ATTEMPT_STARTED, attempt, ResultCode.OK, ""));
            return;
        }
        if (!attempts.isRunning(attempt.id()) && !attempts.hasEnded(attempt.id())) {
            attempts.tombstone(attempt.id(), nowMs);
        }
        commands.add(new AgentCommand.RefuseAttempt(attempt.id(), refusal));
        commands.add(recordEvent(EventKind.ATTEMPT_REFUSED, attempt, refusal.code(), refusal.message()));
    }

    /** Returns why an attempt may not start, or null if it may. */
    private Failure refusalOf(AttemptRequest attempt, long nowMs) {
        if (attempts.isRunning(attempt.id()) || attempts.hasEnded(attempt.id())) {
            return Failure.of(ResultCode.DUPLICATE_ATTEMPT, "the attempt was already started");
        }
        if (attempts.isTombstoned(attempt.id())) {
            return Failure.of(ResultCode.ATTEMPT_TOMBSTONED, "the attempt was cancelled before it arrived");
        }
        if (draining) {
            return Failure.retryAfter(ResultCode.AGENT_DRAINING, "the instance is draining", BUSY_RETRY_MS);
        }
        if (attempts.running() >= limits.maxRunning()) {
            return Failure.retryAfter(
                    ResultCode.AGENT_BUSY, "the agent is at its limit of concurrent attempts", BUSY_RETRY_MS);
        }
        if (nowMs >= attempt.deadlineAtMs()) {
            return Failure.of(ResultCode.DEADLINE_PASSED_WAITING, "the deadline passed before the attempt arrived");
        }
        if (!identity.servesModels()) {
            return serviceRefusal(attempt);
        }
        return views.refusalOf(attempt, configuration);
    }

    private Failure serviceRefusal(AttemptRequest attempt) {
        if (attempt.model() != null) {
            return Failure.retryAfter(ResultCode.MODEL_NOT_LOADED, "this agent serves no models", BUSY_RETRY_MS);
        }
        if (attempts.running() >= serviceMaxConcurrent()) {
            return Failure.retryAfter(
                    ResultCode.AGENT_BUSY, "the endpoint is at its limit of concurrent calls", BUSY_RETRY_MS);
        }
        return null;
    }

    private void onAttemptEnded(AttemptId id, long nowMs) {
        AttemptRequest ended = attempts.onEnded(id, nowMs);
        if (ended != null) {
            markUsed(ended, nowMs);
        }
    }

    private void markUsed(AttemptRequest attempt, long nowMs) {
        if (attempt.model() != null) {
            engine.replica(attempt.model(), nowMs).markUsed(nowMs);
        }
        if (attempt.adapter() != null) {
            engine.replica(attempt.adapter(), nowMs).markUsed(nowMs);
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
        attempts.tombstone(id, nowMs);
        commands.add(new AgentCommand.AnswerCancel(id, CancelResult.NEVER_STARTED));
    }

    private void startDrain(String reason, long nowMs, List<AgentCommand> commands) {
        if (draining && !drainReported) {
            return;
        }
        draining = true;
        drainReported = false;
        drainEndsAtMs = nowMs + limits.drainTimeoutMs();
        commands.add(new AgentCommand.RecordEvent(EventDraft.of(EventKind.DRAIN_STARTED)
                .instance(identity.instance())
                .detail(reason)));
    }

    private void finishDrain(long nowMs, List<AgentCommand> commands) {
        if (!draining || drainReported) {
            return;
        }
        boolean empty = attempts.running() == 0 && (!identity.servesModels() || replicas.holdsNothing());
        if (!empty && nowMs < drainEndsAtMs) {
            return;
        }
        drainReported = true;
        EventDraft event = EventDraft.of(EventKind.DRAIN_FINISHED).instance(identity.instance());
        if (!empty) {
            event.code(ResultCode.STOPPING).detail(unfinishedDrain());
        }
        commands.add(new AgentCommand.RecordEvent(event));
        commands.add(new AgentCommand.DrainFinished(empty));
    }

    private String unfinishedDrain() {
        return "drain timeout of " + limits.drainTimeoutMs() + " ms reached: " + attempts.running()
                + " attempts running, " + rows.unreleased().size() + " rows not released";
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

    private AgentView view(long viewRevision, long nowMs) {
        return new AgentView(
                identity.instance(),
                identity.failureDomain(),
                identity.bootId(),
                viewRevision,
                configuration.version(),
                draining,
                endpointReachable,
                views.views(configuration, nowMs),
                attempts.running(),
                engine.ledger().freeMb(),
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

    private AgentCommand recordEvent(EventKind kind, AttemptRequest attempt, ResultCode code, String detail) {
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

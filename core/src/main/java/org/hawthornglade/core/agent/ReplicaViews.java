package org.hawthornglade.core.agent;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.chart.ReplicaState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.report.ReplicaPhase;
import org.hawthornglade.core.report.ReplicaView;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Builds the views of an agent's replicas for entries and checks whether an attempt may run on one. */
final class ReplicaViews {
    private static final long BUSY_RETRY_MS = 100;

    /** Times are rounded up to this step, so that the published view does not change merely because time passes. */
    private static final long REPORTED_TIME_STEP_MS = 1_000;

    private final EngineTracker engine;
    private final AssignmentTracker rows;
    private final AttemptTracker attempts;

    ReplicaViews(EngineTracker engine, AssignmentTracker rows, AttemptTracker attempts) {
        this.engine = engine;
        this.rows = rows;
        this.attempts = attempts;
    }

    /** Returns why an attempt may not run, or null if it may. */
    Failure refusalOf(AttemptRequest attempt, Configuration configuration) {
        if (attempt.model() == null || !engine.isReady(attempt.model())) {
            return Failure.retryAfter(
                    ResultCode.MODEL_NOT_LOADED, "the model is not ready at this instance", BUSY_RETRY_MS);
        }
        if (attempt.adapter() != null && !engine.isReady(attempt.adapter())) {
            return Failure.retryAfter(
                    ResultCode.MODEL_NOT_LOADED, "the adapter is not ready at this instance", BUSY_RETRY_MS);
        }
        int maxConcurrent = maxConcurrent(attempt.model(), configuration);
        if (attempts.running(attempt.model()) >= maxConcurrent) {
            return Failure.retryAfter(
                    ResultCode.AGENT_BUSY, "the replica is at its limit of concurrent requests", BUSY_RETRY_MS);
        }
        return null;
    }

    /** Returns a view of each held row; before the rows were first read, of each ready base model. */
    List<ReplicaView> views(Configuration configuration, long nowMs) {
        List<ReplicaView> views = new ArrayList<>();
        for (AssignmentRow row : rows.held()) {
            views.add(view(row.assignment().model(), row.assignment().ordinal(), configuration, nowMs));
        }
        if (!rows.hasRead()) {
            engine.replicas().stream()
                    .filter(replica -> replica.isReady() && replica.base() == null)
                    .forEach(replica -> views.add(view(replica.name(), 0, configuration, nowMs)));
        }
        return views;
    }

    private ReplicaView view(ModelName model, int ordinal, Configuration configuration, long nowMs) {
        ReplicaState state = engine.state(model);
        String version = configuration.model(model).map(ModelSpec::version).orElse("");
        int memoryMb = configuration.model(model).map(ModelSpec::reservedMb).orElse(0);
        long loadMs = roundUp(engine.expectedLoadMs(model, version, memoryMb));
        return new ReplicaView(
                model,
                ordinal,
                phaseOf(state),
                attempts.running(model),
                maxConcurrent(model, configuration),
                readyInMs(model, state, loadMs, nowMs),
                loadMs,
                readyAdapters(model),
                state == ReplicaState.READY ? engine.replica(model, nowMs).version() : version);
    }

    private long readyInMs(ModelName model, ReplicaState state, long loadMs, long nowMs) {
        if (state == ReplicaState.READY) {
            return 0;
        }
        if (state != ReplicaState.LOADING) {
            return -1;
        }
        long orderedAtMs = engine.replica(model, nowMs).loadOrderedAtMs();
        long elapsedMs = orderedAtMs == 0 ? 0 : nowMs - orderedAtMs;
        return Math.max(REPORTED_TIME_STEP_MS, roundUp(loadMs - elapsedMs));
    }

    private static long roundUp(long ms) {
        return (ms + REPORTED_TIME_STEP_MS - 1) / REPORTED_TIME_STEP_MS * REPORTED_TIME_STEP_MS;
    }

    private static int maxConcurrent(ModelName model, Configuration configuration) {
        return configuration.model(model).map(ModelSpec::maxConcurrent).orElse(0);
    }

    private List<ModelName> readyAdapters(ModelName base) {
        List<ModelName> ready = new ArrayList<>();
        engine.adaptersOf(base).stream().filter(Replica::isReady).forEach(adapter -> ready.add(adapter.name()));
        return ready;
    }

    private static ReplicaPhase phaseOf(ReplicaState state) {
        return switch (state) {
            case ABSENT -> ReplicaPhase.ABSENT;
            case WAITING -> ReplicaPhase.WAITING;
            case LOADING -> ReplicaPhase.LOADING;
            case READY -> ReplicaPhase.READY;
            case DRAINING, UNLOADING, HALF_PRESENT -> ReplicaPhase.UNLOADING;
        };
    }
}

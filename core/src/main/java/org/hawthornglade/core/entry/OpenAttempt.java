package org.hawthornglade.core.entry;

import org.hawthornglade.core.chart.AttemptEvent;
import org.hawthornglade.core.chart.AttemptState;
import org.hawthornglade.core.chart.ChartInstance;
import org.hawthornglade.core.chart.Charts;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.result.Execution;

/** An attempt in flight, driven through the chart of attempts. */
final class OpenAttempt {
    private final AttemptId id;
    private final TrackedRequest tracked;
    private final InstanceId instance;
    private final long dispatchedAtMs;
    private final ChartInstance<AttemptState, AttemptEvent> chart = Charts.ATTEMPT.start();
    private long cancelledAtMs = Long.MAX_VALUE;

    OpenAttempt(AttemptId id, TrackedRequest tracked, InstanceId instance, long nowMs) {
        this.id = id;
        this.tracked = tracked;
        this.instance = instance;
        this.dispatchedAtMs = nowMs;
        fire(tracked.request().idempotent() ? AttemptEvent.DISPATCHED : AttemptEvent.CLAIM_NEEDED);
    }

    AttemptId id() {
        return id;
    }

    TrackedRequest tracked() {
        return tracked;
    }

    InstanceId instance() {
        return instance;
    }

    AttemptState state() {
        return chart.state();
    }

    long elapsedMs(long nowMs) {
        return nowMs - dispatchedAtMs;
    }

    boolean isCancelled() {
        return cancelledAtMs != Long.MAX_VALUE;
    }

    /** Returns for how long it has been given up without an end, in milliseconds; 0 if it has not. */
    long cancelledForMs(long nowMs) {
        return isCancelled() ? nowMs - cancelledAtMs : 0;
    }

    /** The claim is taken: bytes may leave from now on. */
    void onClaimed() {
        fire(AttemptEvent.DISPATCHED);
    }

    /** The entry wants it stopped; while it is being claimed only its end tells whether bytes left. */
    void cancel(long nowMs) {
        cancelledAtMs = nowMs;
        if (chart.state() != AttemptState.CLAIMING) {
            fire(AttemptEvent.GAVE_UP);
        }
    }

    void onEnded(AttemptOutcome outcome) {
        if (chart.state() == AttemptState.CLAIMING) {
            fire(AttemptEvent.CLAIM_DENIED);
        } else if (outcome.isComplete()) {
            fire(AttemptEvent.COMPLETE_RECEIVED);
        } else if (outcome.execution() == Execution.NOT_RUN) {
            fire(AttemptEvent.REFUSED);
        } else {
            fire(AttemptEvent.CONNECTION_LOST);
            fire(AttemptEvent.HAD_STARTED);
        }
    }

    private void fire(AttemptEvent event) {
        if (chart.accepts(event)) {
            chart.fire(event).getOrElseThrow(failure -> new IllegalStateException(failure.message()));
        }
    }
}

package org.hawthornglade.core.entry;

import org.hawthornglade.core.chart.AttemptEvent;
import org.hawthornglade.core.chart.AttemptState;
import org.hawthornglade.core.chart.ChartInstance;
import org.hawthornglade.core.chart.Charts;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.result.Execution;

/** An attempt in flight, with its state in the attempt state chart. */
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

    /** Returns how long ago the attempt was cancelled, in milliseconds; 0 if it was not. */
    long cancelledForMs(long nowMs) {
        return isCancelled() ? nowMs - cancelledAtMs : 0;
    }

    /** Records that the claim was taken, so bytes may be sent from now on. */
    void onClaimed() {
        fire(AttemptEvent.DISPATCHED);
    }

    /**
     * Records the cancellation. An attempt whose claim is pending keeps its state: it ends as not run unless {@link
     * #onClaimed} is called before its end, since bytes may then have been sent.
     */
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

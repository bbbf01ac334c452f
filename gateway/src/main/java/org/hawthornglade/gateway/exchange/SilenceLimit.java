package org.hawthornglade.gateway.exchange;

import org.hawthornglade.core.serving.Route;
import org.hawthornglade.gateway.loop.Timers;

/** The time for which an endpoint that runs a repeatable call may be silent; other calls have no limit. */
final class SilenceLimit {
    /** Share of the latency target for which an endpoint may be silent before its response. */
    private static final double TARGET_SHARE = 0.8;
    /** Lower bound of the time that an endpoint may be silent. */
    private static final long MIN_LIMIT_MS = 150;
    /** Within a stream, an endpoint may be silent for this many times the target for the gap between events. */
    private static final int GAP_TARGET_FACTOR = 2;

    private final Timers timers;
    private final Route route;
    private final Runnable onSilence;
    private Timers.Timeout timeout;
    private long limitMs;
    private boolean exceeded;

    /**
     * Creates a limit that is not started.
     *
     * @param onSilence called once the endpoint has been silent for too long
     */
    SilenceLimit(Timers timers, Route route, Runnable onSilence) {
        this.timers = timers;
        this.route = route;
        this.onSilence = onSilence;
    }

    /** Starts the time when the request is sent. */
    void startBeforeResponse() {
        start(Math.round(route.targetMs() * TARGET_SHARE));
    }

    /** Starts the time anew when events have arrived. */
    void startBetweenEvents() {
        start(route.gapTargetMs() * GAP_TARGET_FACTOR);
    }

    private void start(long usualLimitMs) {
        limitMs = Math.max(MIN_LIMIT_MS, usualLimitMs);
        startAgain();
    }

    /** Starts the same time anew. */
    void startAgain() {
        cancel();
        if (route.repeatable()) {
            timeout = timers.after(limitMs, this::onExceeded);
        }
    }

    private void onExceeded() {
        exceeded = true;
        onSilence.run();
    }

    /** Returns whether the time is over, and was neither cancelled nor started anew. */
    boolean exceeded() {
        return exceeded;
    }

    /** Returns the limit that was started last. */
    long limitMs() {
        return limitMs;
    }

    void cancel() {
        exceeded = false;
        if (timeout != null) {
            timeout.cancel();
        }
    }
}

package org.hawthornglade.gateway.memory;

import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Logs and counts what a budget of bodies does to callers. */
public final class BodyPressureLog implements BodyPressureListener {
    /** Bodies are held back for each read while memory is short; a line is written at most this often. */
    private static final long MIN_INTERVAL_MS = 1_000;

    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private long nextLineMs;

    /** Creates a listener that writes to a log and counts in metrics. */
    public BodyPressureLog(Clock clock, EventLog log, GatewayMetrics metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void onHeldBack(long reservedBytes, int waiting) {
        metrics.count("request_bodies_held_back");
        long nowMs = clock.nowMs();
        if (nowMs < nextLineMs) {
            return;
        }
        nextLineMs = nowMs + MIN_INTERVAL_MS;
        log.event("body-held-back")
                .with("reserved", reservedBytes)
                .with("waiting", waiting)
                .write();
    }

    @Override
    public void onRefused(long reservedBytes, long bytes) {
        metrics.count("request_bodies_refused");
        log.event("body-refused")
                .with("reserved", reservedBytes)
                .with("bytes", bytes)
                .write();
    }
}

package org.hawthornglade.gateway.http;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Counts the connections that are closed because they hold too much, and logs them. */
public final class CallerPressureLog implements CallerPressureListener {
    /** A line for each cause is written at most this often. */
    private static final long MIN_INTERVAL_MS = 1_000;

    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Map<String, Long> nextLineMs = new HashMap<>();

    /** Creates a listener that writes to a log and counts in metrics. */
    public CallerPressureLog(Clock clock, EventLog log, GatewayMetrics metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void onClosed(String cause, long held, long limit) {
        metrics.count("callers_closed_" + cause);
        long nowMs = clock.nowMs();
        if (nowMs < nextLineMs.getOrDefault(cause, 0L)) {
            return;
        }
        nextLineMs.put(cause, nowMs + MIN_INTERVAL_MS);
        log.event("caller-closed")
                .with("cause", cause)
                .with("held", held)
                .with("limit", limit)
                .write();
    }
}

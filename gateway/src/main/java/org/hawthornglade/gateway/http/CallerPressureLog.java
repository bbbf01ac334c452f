package org.hawthornglade.gateway.http;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Counts the connections that are closed and the requests that are refused for limits of callers, and logs them. */
public final class CallerPressureLog implements CallerPressureListener {
    /** A line for each event and cause is written at most this often. */
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
        if (mayWrite("closed " + cause)) {
            log.event("caller-closed")
                    .with("cause", cause)
                    .with("held", held)
                    .with("limit", limit)
                    .write();
        }
    }

    @Override
    public void onRefused(String cause, int status, long limit) {
        metrics.count("callers_refused_" + cause);
        if (mayWrite("refused " + cause)) {
            log.event("caller-refused")
                    .with("cause", cause)
                    .with("status", status)
                    .with("limit", limit)
                    .write();
        }
    }

    private boolean mayWrite(String line) {
        long nowMs = clock.nowMs();
        if (nowMs < nextLineMs.getOrDefault(line, 0L)) {
            return false;
        }
        nextLineMs.put(line, nowMs + MIN_INTERVAL_MS);
        return true;
    }
}

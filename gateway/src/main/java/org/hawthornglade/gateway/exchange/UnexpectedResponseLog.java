package org.hawthornglade.gateway.exchange;

import java.util.Locale;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.gateway.http.UnexpectedResponse;
import org.hawthornglade.gateway.http.UnexpectedResponseListener;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.log.LogLine;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Logs and counts the responses of endpoints that do not belong to the open request of their connection. */
public final class UnexpectedResponseLog implements UnexpectedResponseListener {
    private final EventLog log;
    private final GatewayMetrics metrics;

    /** Creates a listener that writes to a log and counts by reason. */
    public UnexpectedResponseLog(EventLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void onUnexpectedResponse(InstanceAddress peer, UnexpectedResponse response) {
        String reason = response.reason().name().toLowerCase(Locale.ROOT);
        metrics.count("unexpected_responses_" + reason);
        LogLine line = log.event("unexpected-response")
                .with("address", peer)
                .with("reason", reason)
                .with("status", response.status());
        response.requestId().ifPresent(id -> line.with("request", id));
        line.write();
    }
}

package org.hawthornglade.gateway.exchange;

import io.netty.handler.codec.http.HttpRequest;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.gateway.http.CutResponse;
import org.hawthornglade.gateway.http.UnfinishedRequest;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.log.LogLine;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.CallProtocol;
import org.hawthornglade.gateway.port.CallRequest;

/** Logs the requests that were begun to be read and never handled, and counts those that nothing identifies. */
final class UnhandledRequestLog {
    private final CallProtocol protocol;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Map<UnfinishedRequest.End, Integer> unidentified = new EnumMap<>(UnfinishedRequest.End.class);

    UnhandledRequestLog(CallProtocol protocol, EventLog log, GatewayMetrics metrics) {
        this.protocol = protocol;
        this.log = log;
        this.metrics = metrics;
    }

    void onUnfinished(UnfinishedRequest request) {
        String end = name(request.end());
        metrics.count("requests_unfinished_" + end);
        if (request.head().isEmpty()) {
            unidentified.merge(request.end(), 1, Integer::sum);
            return;
        }
        log.event("request-unfinished")
                .with("request", id(request.head().get()))
                .with("end", end)
                .with("status", request.status())
                .with("body_bytes", request.bodyBytes())
                .with("age_ms", request.ageMs())
                .write();
    }

    void onCut(CutResponse response) {
        String end = name(response.end());
        metrics.count("responses_cut_" + end);
        log.event("response-cut")
                .with("request", id(response.head()))
                .with("end", end)
                .with("unsent_bytes", response.unsentBytes())
                .write();
    }

    /** Adds to a line how many requests ended so far before their head was complete, by how they ended. */
    LogLine addUnidentified(LogLine line) {
        unidentified.forEach((end, count) -> line.with("unidentified_" + name(end), count));
        return line;
    }

    private RequestId id(HttpRequest head) {
        return protocol.readCall(head).fold(invalid -> RequestId.of("none"), CallRequest::id);
    }

    private static String name(UnfinishedRequest.End end) {
        return end.name().toLowerCase(Locale.ROOT);
    }
}

package org.hawthornglade.gateway.exchange;

import java.util.OptionalDouble;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.hawthornglade.core.notice.PauseNotice;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.ResponseHead;

/** Applies the notices in the responses of endpoints, and has the waiting calls reconsidered. */
final class NoticeHandler {
    private final WaitingCalls waitingCalls;
    private final Timers timers;
    private final EventLog log;
    private final GatewayMetrics metrics;

    NoticeHandler(WaitingCalls waitingCalls, Timers timers, EventLog log, GatewayMetrics metrics) {
        this.waitingCalls = waitingCalls;
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Applies the notices in the head of a response.
     *
     * @param sentAtMs the time at which the request was sent
     */
    void handle(Endpoint endpoint, ResponseHead head, RequestId request, long sentAtMs, long nowMs) {
        if (head.leaving() && !endpoint.notices().leaving().received()) {
            onLeaving(endpoint, request);
        }
        if (head.retryAfterMs().orElse(0) > 0) {
            onRetryAfter(endpoint, head.retryAfterMs().getAsLong(), request, nowMs);
        }
        onRateLimit(endpoint, new AdvertisedLimit(head.limitPerSecond(), sentAtMs, nowMs), request);
    }

    private void onLeaving(Endpoint endpoint, RequestId request) {
        endpoint.notices().leaving().markReceived();
        metrics.count("endpoints_leaving");
        log.event("endpoint-leaving")
                .with("instance", endpoint.id())
                .with("request", request)
                .write();
        // Lets calls that wait for this endpoint choose another one, after its response has been read.
        timers.run(waitingCalls::reconsider);
    }

    private void onRetryAfter(Endpoint endpoint, long durationMs, RequestId request, long nowMs) {
        PauseNotice pause = endpoint.notices().pause();
        long previousUntilMs = pause.untilMs();
        pause.receive(durationMs, nowMs);
        if (pause.untilMs() == previousUntilMs) {
            return;
        }
        endpoint.pace().restart();
        metrics.count("endpoints_shut");
        log.event("endpoint-shut")
                .with("instance", endpoint.id())
                .with("for_ms", durationMs)
                .with("request", request)
                .write();
        timers.run(waitingCalls::reconsider);
        timers.after(durationMs, waitingCalls::reconsider);
    }

    private void onRateLimit(Endpoint endpoint, AdvertisedLimit limit, RequestId request) {
        OptionalDouble previous = endpoint.notices().rateLimit().perSecond();
        if (!endpoint.notices().rateLimit().update(limit)) {
            return;
        }
        endpoint.permits().onLimitAdvertised(limit.receivedAtMs());
        waitingCalls.notifyDemandChanged();
        metrics.count("endpoint_limits_changed");
        log.event("endpoint-limit")
                .with("instance", endpoint.id())
                .with("per_s", text(limit.perSecond()))
                .with("before", text(previous))
                .with("request", request)
                .write();
        timers.run(waitingCalls::reconsider);
    }

    private static String text(OptionalDouble limit) {
        return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "none";
    }
}

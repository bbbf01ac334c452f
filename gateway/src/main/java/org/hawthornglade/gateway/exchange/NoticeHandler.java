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

/** Takes what endpoints say of themselves in their answers, and has the waiting calls decided anew. */
final class NoticeHandler {
    private final WaitingCalls waitingCalls;
    private final Timers timers;
    private final EventLog log;
    private final GatewayMetrics metrics;

    NoticeHandler(WaitingCalls waiting, Timers timers, EventLog log, GatewayMetrics metrics) {
        this.waitingCalls = waiting;
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Takes what a head says.
     *
     * @param sentAtMs when the request was sent that it answers
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
        endpoint.notices().leaving().receive();
        metrics.count("endpoints_leaving");
        log.event("endpoint-leaving")
                .with("instance", endpoint.id())
                .with("request", request)
                .write();
        // Calls that wait for this endpoint look for another; not within the reading of its answer.
        timers.run(waitingCalls::reconsider);
    }

    private void onRetryAfter(Endpoint endpoint, long forMs, RequestId request, long nowMs) {
        PauseNotice shut = endpoint.notices().pause();
        long beforeMs = shut.untilMs();
        shut.receive(forMs, nowMs);
        if (shut.untilMs() == beforeMs) {
            return;
        }
        metrics.count("endpoints_shut");
        log.event("endpoint-shut")
                .with("instance", endpoint.id())
                .with("for_ms", forMs)
                .with("request", request)
                .write();
        timers.run(waitingCalls::reconsider);
        timers.after(forMs, waitingCalls::reconsider);
    }

    private void onRateLimit(Endpoint endpoint, AdvertisedLimit word, RequestId request) {
        OptionalDouble before = endpoint.notices().rateLimit().perSecond();
        if (!endpoint.notices().rateLimit().update(word)) {
            return;
        }
        endpoint.permits().onLimitAdvertised(word.receivedAtMs());
        waitingCalls.notifyDemandChanged();
        metrics.count("endpoint_limits_changed");
        log.event("endpoint-limit")
                .with("instance", endpoint.id())
                .with("per_s", text(word.perSecond()))
                .with("before", text(before))
                .with("request", request)
                .write();
        timers.run(waitingCalls::reconsider);
    }

    private static String text(OptionalDouble limit) {
        return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "none";
    }
}

package org.hawthornglade.gateway.exchange;

import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.EndpointHealth;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.AnswerHead;

/** Takes what endpoints say of themselves in their answers: that they leave, or want nothing for a time. */
final class EndpointNotices {
    private final WaitingCalls waiting;
    private final Timers timers;
    private final EventLog log;
    private final GatewayMetrics metrics;

    EndpointNotices(WaitingCalls waiting, Timers timers, EventLog log, GatewayMetrics metrics) {
        this.waiting = waiting;
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
    }

    void take(Endpoint endpoint, AnswerHead head, RequestId request, long nowMs) {
        if (head.leaving() && !endpoint.health().leaving()) {
            leaves(endpoint, request);
        }
        if (head.retryAfterMs().orElse(0) > 0) {
            shut(endpoint, head.retryAfterMs().getAsLong(), request, nowMs);
        }
    }

    private void leaves(Endpoint endpoint, RequestId request) {
        endpoint.health().onLeaving();
        metrics.count("endpoints_leaving");
        log.event("endpoint-leaving")
                .with("instance", endpoint.id())
                .with("request", request)
                .write();
        // Calls that wait for this endpoint look for another; not within the reading of its answer.
        timers.run(waiting::reconsider);
    }

    private void shut(Endpoint endpoint, long forMs, RequestId request, long nowMs) {
        EndpointHealth health = endpoint.health();
        long beforeMs = health.shutUntilMs();
        health.onShut(forMs, nowMs);
        if (health.shutUntilMs() == beforeMs) {
            return;
        }
        metrics.count("endpoints_shut");
        log.event("endpoint-shut")
                .with("instance", endpoint.id())
                .with("for_ms", forMs)
                .with("request", request)
                .write();
        timers.run(waiting::reconsider);
        timers.after(forMs, waiting::reconsider);
    }
}

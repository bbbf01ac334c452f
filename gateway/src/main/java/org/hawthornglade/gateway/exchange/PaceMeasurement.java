package org.hawthornglade.gateway.exchange;

import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.FirstTokenSelector;
import org.hawthornglade.core.dispatch.WorkKind;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.pace.ServerPace;
import org.hawthornglade.gateway.http.OutboundFailure;
import org.hawthornglade.gateway.port.ResponseHead;

/** Measures one attempt and updates the service rate and the concurrency limit of its endpoint. */
final class PaceMeasurement {
    /** Start value of the response time of a plain call. */
    private static final double PLAIN_START_MS = 20;
    /** Start value of the time between two events of a generation. */
    private static final double EVENT_START_MS = 5;
    /** Limits are logged when they pass a multiple of this factor. */
    private static final double LOG_FACTOR = 2;

    private static final int BUSY = 503;

    private final ExchangeContext context;
    private final CallView call;
    private final Endpoint endpoint;
    private final ServerPace pace;
    private final int inFlight;
    private final int own;
    private final double firstStartMs;
    private long sentAtMs;
    private long firstAtMs = -1;
    private long lastAtMs;
    private int events;

    /** Creates the measurement of an attempt whose load is already counted at its endpoint. */
    PaceMeasurement(ExchangeContext context, CallView call, Endpoint endpoint, long nowMs) {
        this.context = context;
        this.call = call;
        this.endpoint = endpoint;
        this.pace = endpoint.pace();
        this.inFlight = endpoint.load().requests(nowMs);
        this.own = endpoint.load().ownRequests();
        this.firstStartMs = call.demand().isPresent()
                ? FirstTokenSelector.startMs(endpoint.load().ownPrefillTokens(), inFlight)
                : PLAIN_START_MS;
        pace.onStarted();
    }

    void onSent(long nowMs) {
        sentAtMs = nowMs;
    }

    /** Applies what the head of a response states on the endpoint's momentary service rate. */
    void onHead(ResponseHead head, long nowMs) {
        head.load()
                .ifPresent(load ->
                        load.slowdown().ifPresent(stated -> pace.stated().onStated(stated, nowMs)));
    }

    /** Records that the attempt has ended, in whatever way. */
    void onEnded() {
        pace.onEnded();
    }

    /** Records one or more complete events of a stream. */
    void onEvents(long nowMs) {
        if (firstAtMs < 0) {
            firstAtMs = nowMs;
            record(WorkKind.firstToken(call), (double) (nowMs - sentAtMs), firstStartMs, nowMs);
        }
        events++;
        lastAtMs = nowMs;
    }

    /** Records that the response is complete. */
    void onCompleted(ResponseHead head, long nowMs) {
        if (head.notRun()) {
            if (head.status() == BUSY) {
                change("refused", nowMs, () -> pace.limit().onRefused(nowMs));
            }
            return;
        }
        if (!head.isSuccess()) {
            return;
        }
        if (events > 1) {
            double intervalMs = (double) (lastAtMs - firstAtMs) / (events - 1);
            double factor = context.pacing().usualTimes().factor(WorkKind.betweenEvents(call));
            pace.onInterval(intervalMs, EVENT_START_MS * factor, nowMs);
            record(WorkKind.betweenEvents(call), intervalMs, EVENT_START_MS, nowMs);
        } else if (events == 0 && call.demand().isEmpty()) {
            record(WorkKind.plain(call), (double) (nowMs - sentAtMs), PLAIN_START_MS, nowMs);
        }
    }

    /** Records that the attempt failed. */
    void onFailed(OutboundFailure failure, long nowMs) {
        if (failure == OutboundFailure.TIMED_OUT) {
            change("timeout", nowMs, () -> pace.limit().onTimeout(nowMs));
        } else if (failure == OutboundFailure.CLOSED || failure == OutboundFailure.BROKEN_OFF) {
            change("lost", nowMs, pace::restart);
        }
    }

    /** Records that no connection could be made. */
    void onUnreachable(long nowMs) {
        change("unreachable", nowMs, pace::restart);
    }

    private void record(WorkKind kind, double measuredMs, double startMs, long nowMs) {
        double usualMs = startMs * context.pacing().usualTimes().factor(kind);
        context.pacing().usualTimes().onResponse(kind, measuredMs, startMs);
        change("response", nowMs, () -> pace.onResponse(kind, measuredMs, usualMs, inFlight, own, nowMs));
    }

    /** Changes the limit; it is logged when it passes a power of two. */
    private void change(String reason, long nowMs, Runnable change) {
        double before = pace.limit().calls();
        change.run();
        double after = pace.limit().calls();
        if (!context.pacing().limits(pace) || before == after) {
            return;
        }
        context.metrics().count(after > before ? "pace_limits_raised" : "pace_limits_lowered");
        if (step(before) != step(after)) {
            WorkKind kind = call.demand().isPresent() ? WorkKind.firstToken(call) : WorkKind.plain(call);
            context.log()
                    .event("endpoint-pace")
                    .with("instance", endpoint.id())
                    .with("reason", reason)
                    .with("limit", Math.round(after))
                    .with("before", Math.round(before))
                    .with("in_flight", endpoint.load().requests(nowMs))
                    .with("report_age_ms", endpoint.load().reportAgeMs(nowMs))
                    .with("slowdown", Math.round(100 * pace.slowdown(kind, nowMs)))
                    .with("slowdown_age_ms", pace.ageMs(kind, nowMs))
                    .write();
        }
    }

    private static long step(double limit) {
        return (long) Math.floor(Math.log(limit) / Math.log(LOG_FACTOR));
    }
}

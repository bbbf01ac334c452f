package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.result.ResultCode;

/** Decides on a call when every endpoint that could run it has said that it wants nothing for a time. */
final class PauseWait {
    /** Callers come back after at most this share of the time that they have left. */
    private static final double MAX_CALLER_RETRY_SHARE = 1.0 / 3;
    /** Callers that come back are spread over this share of the time until then. */
    private static final double JITTER_SHARE = 0.25;
    /** Spreads calls that arrive shortly after each other. */
    private static final long JITTER_STEP = 7_919;

    private PauseWait() {}

    /** Returns the endpoints that want calls now. */
    static List<Endpoint> unpaused(List<Endpoint> endpoints, long nowMs) {
        List<Endpoint> open = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.notices().acceptsCalls(nowMs)) {
                open.add(endpoint);
            }
        }
        return open;
    }

    /** Returns when the first of some endpoints wants calls again. */
    static long earliestEndAtMs(List<Endpoint> endpoints) {
        long soonestMs = Long.MAX_VALUE;
        for (Endpoint endpoint : endpoints) {
            soonestMs = Math.min(soonestMs, endpoint.notices().pause().untilMs());
        }
        return soonestMs;
    }

    /**
     * Decides for a call that can be sent at a time to come: a caller that can use the time is told it; one that would
     * not come back so late waits here.
     */
    static Decision decide(CallView call, long soonestAtMs, long nowMs) {
        long untilMs = Math.max(1, soonestAtMs - nowMs);
        long leftMs = call.abandonAtMs() - nowMs;
        if (untilMs >= leftMs) {
            return new Decision.Refuse(ResultCode.ENDPOINTS_SHUT, untilMs);
        }
        long usableMs = (long) (MAX_CALLER_RETRY_SHARE * leftMs);
        if (untilMs > usableMs) {
            return new Decision.Wait("endpoint-shut", OptionalLong.of(soonestAtMs));
        }
        long laterMs = Math.min(usableMs - untilMs, jitterMs(call, untilMs));
        return new Decision.Refuse(ResultCode.ENDPOINTS_SHUT, untilMs + laterMs);
    }

    /** Returns by how much later a caller comes back than it could, so that not all come at once. */
    static long jitterMs(CallView call, long untilMs) {
        long spreadMs = (long) (JITTER_SHARE * untilMs);
        return Math.floorMod(call.arrivedAtMs() * JITTER_STEP, spreadMs + 1);
    }
}

package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.result.ResultCode;

/** Decides on a call while every endpoint that could run it is in a retry-after pause. */
final class PauseWait {
    /** Longest retry-after time that callers are expected to wait for, as a share of their remaining time. */
    private static final double MAX_CALLER_RETRY_SHARE = 1.0 / 3;
    /** Jitter added to retry-after times, as a share of the time until the retry. */
    private static final double JITTER_SHARE = 0.25;
    /** A prime factor that gives different jitter to calls that arrive shortly after each other. */
    private static final long JITTER_STEP = 7_919;

    private PauseWait() {}

    /** Returns the endpoints that accept calls now. */
    static List<Endpoint> unpaused(List<Endpoint> endpoints, long nowMs) {
        List<Endpoint> unpaused = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.notices().acceptsCalls(nowMs)) {
                unpaused.add(endpoint);
            }
        }
        return unpaused;
    }

    /** Returns when the first of the endpoints' pauses ends. */
    static long earliestEndAtMs(List<Endpoint> endpoints) {
        long earliestMs = Long.MAX_VALUE;
        for (Endpoint endpoint : endpoints) {
            earliestMs = Math.min(earliestMs, endpoint.notices().pause().untilMs());
        }
        return earliestMs;
    }

    /**
     * Decides on a call that can be sent after a pause: if the pause is short enough for the caller to retry, the call
     * is refused with that time; if it ends later but before the caller abandons the call, the call waits at the entry;
     * otherwise it is refused.
     */
    static Decision decide(CallView call, long earliestAtMs, long nowMs) {
        long untilMs = Math.max(1, earliestAtMs - nowMs);
        long remainingMs = call.abandonAtMs() - nowMs;
        if (untilMs >= remainingMs) {
            return new Decision.Refuse(ResultCode.ENDPOINTS_SHUT, untilMs);
        }
        long usableMs = (long) (MAX_CALLER_RETRY_SHARE * remainingMs);
        if (untilMs > usableMs) {
            return new Decision.Wait("endpoint-shut", OptionalLong.of(earliestAtMs));
        }
        long addedMs = Math.min(usableMs - untilMs, jitterMs(call, untilMs));
        return new Decision.Refuse(ResultCode.ENDPOINTS_SHUT, untilMs + addedMs);
    }

    /** Returns the jitter to add to a retry-after time, so that callers do not all retry at once. */
    static long jitterMs(CallView call, long untilMs) {
        long spreadMs = (long) (JITTER_SHARE * untilMs);
        return Math.floorMod(call.arrivedAtMs() * JITTER_STEP, spreadMs + 1);
    }
}

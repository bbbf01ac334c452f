package org.hawthornglade.core.dispatch;

import java.util.List;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.pace.Pacing;

/** Applies the concurrency limits of servers to a choice, and spreads it over servers that look equally good. */
final class PacedChoice {
    /** Expected times that differ by less than this share count as equal, since all entries see the same figures. */
    private static final double EQUAL_SHARE = 0.15;
    /** A call that is decided on later than this after its last progress has waited. */
    private static final long WAITED_MS = 10;

    /** Room below which new calls contend too, since several may come within the age of a report. */
    private static final double CRASH_FREE_CALLS = 3;

    private final Pacing pacing;

    PacedChoice(Pacing pacing) {
        this.pacing = pacing;
    }

    /** Returns whether the service rates of some endpoints are used in the choice between them. */
    boolean byTime(List<Endpoint> endpoints) {
        for (Endpoint endpoint : endpoints) {
            if (pacing.choosesByTime(endpoint.pace())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the calls that this entry may start at an endpoint beside those known to be in flight there. */
    double freeCalls(Endpoint endpoint, long nowMs) {
        if (!pacing.limits(endpoint.pace())) {
            return Double.MAX_VALUE;
        }
        long reportAgeMs = endpoint.load().reportAgeMs(nowMs);
        int own = endpoint.load().ownRequests();
        int inFlight = endpoint.load().requests(nowMs);
        endpoint.pace().onReport(inFlight, nowMs - reportAgeMs, nowMs);
        double ownLimit = endpoint.pace().ownLimit(endpoint.load().ownAtReport(), reportAgeMs, pacing.entries());
        return Math.min(endpoint.pace().limit().calls() - inFlight, ownLimit - own);
    }

    /**
     * Returns whether this entry may start a call in the free room of an endpoint.
     *
     * <p>A call that has just arrived uses it at once. One that has waited contends with the calls that wait at other
     * entries for the same room.
     *
     * @param freeCalls the calls for which there is room; {@link Double#MAX_VALUE} if it is not limited
     * @param crashes whether the endpoint crashes if more calls are started
     */
    boolean mayStart(Endpoint endpoint, CallView call, double freeCalls, boolean crashes, long nowMs) {
        if (freeCalls == Double.MAX_VALUE) {
            return true;
        }
        if (freeCalls < 1) {
            return false;
        }
        boolean waited = nowMs - call.lastProgressAtMs() > WAITED_MS;
        if (!waited && (!crashes || freeCalls >= CRASH_FREE_CALLS)) {
            return true;
        }
        int own = endpoint.load().ownRequests();
        int others = endpoint.load().requests(nowMs) - own;
        return endpoint.pace()
                .share()
                .mayStart(freeCalls, own, others, pacing.entries(), crashes, pacing.random(), nowMs);
    }

    /** Returns a random index among the costs that are within a small share of the least, or -1 if there are none. */
    int spread(double[] costs, int count) {
        double least = Double.MAX_VALUE;
        for (int i = 0; i < count; i++) {
            least = Math.min(least, costs[i]);
        }
        int chosen = -1;
        int equal = 0;
        for (int i = 0; i < count; i++) {
            if (costs[i] <= least * (1 + EQUAL_SHARE)) {
                equal++;
                chosen = pacing.random().nextInt(equal) == 0 ? i : chosen;
            }
        }
        return chosen;
    }
}

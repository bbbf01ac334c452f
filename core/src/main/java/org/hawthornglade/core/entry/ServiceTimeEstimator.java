package org.hawthornglade.core.entry;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.id.ModelName;

/**
 * How long requests run at least, learned from those that ended, for each queue.
 *
 * <p>The estimate follows the faster requests and fades while none ends. So a slow time in which nothing could be
 * answered in time does not go on because all requests are refused on its account.
 */
final class ServiceTimeEstimator {
    private static final double FASTER_WEIGHT = 0.3;
    private static final double SLOWER_WEIGHT = 0.02;
    private static final double HALF_LIFE_MS = 2_000;
    private static final long UNKNOWN_MS = 1;

    private final Map<ModelName, Estimate> estimates = new HashMap<>();

    void observe(ModelName queue, long durationMs, long nowMs) {
        Estimate known = estimates.get(queue);
        if (known == null) {
            estimates.put(queue, new Estimate(durationMs, nowMs));
            return;
        }
        double share = durationMs < known.estimateMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
        estimates.put(queue, new Estimate(known.estimateMs + share * (durationMs - known.estimateMs), nowMs));
    }

    /** Returns the expected time, in milliseconds; small while none is known, so that nothing is refused on a guess. */
    long expectedMs(ModelName queue, long nowMs) {
        Estimate known = estimates.get(queue);
        if (known == null) {
            return UNKNOWN_MS;
        }
        double faded = known.estimateMs * Math.pow(0.5, (nowMs - known.atMs) / HALF_LIFE_MS);
        return Math.max(UNKNOWN_MS, Math.round(faded));
    }

    private record Estimate(double estimateMs, long atMs) {}
}

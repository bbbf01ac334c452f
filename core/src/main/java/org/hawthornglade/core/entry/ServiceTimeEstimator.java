package org.hawthornglade.core.entry;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.id.ModelName;

/**
 * Estimates, for each queue, how long requests run at least from those that ended.
 *
 * <p>The estimate follows the faster requests and decays while none ends. Otherwise a slow period, in which no request
 * could be answered in time, would persist because all requests would be refused due to its estimate.
 */
final class ServiceTimeEstimator {
    private static final double FASTER_WEIGHT = 0.3;
    private static final double SLOWER_WEIGHT = 0.02;
    private static final double HALF_LIFE_MS = 2_000;
    private static final long UNKNOWN_MS = 1;

    private final Map<ModelName, Estimate> estimates = new HashMap<>();

    void observe(ModelName queue, long durationMs, long nowMs) {
        Estimate estimate = estimates.get(queue);
        if (estimate == null) {
            estimates.put(queue, new Estimate(durationMs, nowMs));
            return;
        }
        double weight = durationMs < estimate.estimateMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
        estimates.put(queue, new Estimate(estimate.estimateMs + weight * (durationMs - estimate.estimateMs), nowMs));
    }

    /** Returns the expected time, in milliseconds; minimal while unknown, so that no request is refused on a guess. */
    long expectedMs(ModelName queue, long nowMs) {
        Estimate estimate = estimates.get(queue);
        if (estimate == null) {
            return UNKNOWN_MS;
        }
        double decayed = estimate.estimateMs * Math.pow(0.5, (nowMs - estimate.atMs) / HALF_LIFE_MS);
        return Math.max(UNKNOWN_MS, Math.round(decayed));
    }

    private record Estimate(double estimateMs, long atMs) {}
}

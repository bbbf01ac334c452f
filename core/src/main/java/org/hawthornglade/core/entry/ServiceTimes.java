package org.hawthornglade.core.entry;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.id.ModelName;

/** How long requests run, learned from those that ended, as a moving average a queue. */
final class ServiceTimes {
    private static final double NEW_SHARE = 0.2;
    private static final long UNKNOWN_MS = 1;

    private final Map<ModelName, Double> averagesMs = new HashMap<>();

    void ran(ModelName queue, long durationMs) {
        averagesMs.merge(queue, (double) durationMs, (old, now) -> old + NEW_SHARE * (now - old));
    }

    /** Returns the expected time, in milliseconds; small while none is known, so that nothing is refused on a guess. */
    long expectedMs(ModelName queue) {
        return Math.max(UNKNOWN_MS, Math.round(averagesMs.getOrDefault(queue, (double) UNKNOWN_MS)));
    }
}

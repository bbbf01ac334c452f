package org.hawthornglade.core.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;

/**
 * Estimates how long calls take at endpoints, by service and model, from the completed calls of this entry.
 *
 * <p>A model with too few recent calls has the times of its service.
 */
public final class ServiceTimes {
    /** Weight of a new call in the means. */
    private static final double NEW_CALL_WEIGHT = 0.1;
    /** Fewer calls than this say too little, as a single slow call would count for much. */
    private static final int MIN_CALLS = 8;
    /** An estimate without a completed call for this long is not used; servers may have changed since. */
    private static final long MAX_AGE_MS = 10_000;

    private record Key(ServiceName service, Optional<ModelName> model) {}

    private static final class Mean {
        private double firstMs;
        private double totalMs;
        private int calls;
        private long lastAtMs;

        void add(long first, long total, long nowMs) {
            calls = nowMs - lastAtMs > MAX_AGE_MS ? 1 : calls + 1;
            // The first calls have equal weights.
            double weight = Math.max(NEW_CALL_WEIGHT, 1.0 / calls);
            firstMs += weight * (first - firstMs);
            totalMs += weight * (total - totalMs);
            lastAtMs = nowMs;
        }

        Optional<ServiceTime> get(long nowMs) {
            long ageMs = nowMs - lastAtMs;
            return calls < MIN_CALLS || ageMs > MAX_AGE_MS
                    ? Optional.empty()
                    : Optional.of(new ServiceTime(firstMs, totalMs, ageMs));
        }
    }

    private final Map<Key, Mean> means = new HashMap<>();

    /**
     * Adds a completed call.
     *
     * @param firstMs the time from its sending to the first part of its response, in milliseconds
     * @param totalMs the time from its sending to the end of its response, in milliseconds
     */
    public void onCompleted(ServiceName service, Optional<ModelName> model, long firstMs, long totalMs, long nowMs) {
        mean(new Key(service, Optional.empty())).add(firstMs, totalMs, nowMs);
        if (model.isPresent()) {
            mean(new Key(service, model)).add(firstMs, totalMs, nowMs);
        }
    }

    private Mean mean(Key key) {
        return means.computeIfAbsent(key, each -> new Mean());
    }

    /** Returns the estimate for a model, or else for its service; empty if too little is known. */
    public Optional<ServiceTime> of(ServiceName service, Optional<ModelName> model, long nowMs) {
        return known(new Key(service, model), nowMs).or(() -> known(new Key(service, Optional.empty()), nowMs));
    }

    private Optional<ServiceTime> known(Key key, long nowMs) {
        Mean mean = means.get(key);
        return mean == null ? Optional.empty() : mean.get(nowMs);
    }
}

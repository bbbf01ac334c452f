package org.hawthornglade.core.load;

import java.util.EnumMap;
import java.util.Map;

/**
 * Estimates load times from the observed speed of each checkpoint tier.
 *
 * @param <T> the enum of the tiers
 */
public final class LoadTimeEstimator<T extends Enum<T>> {
    private static final double SMOOTHING_FACTOR = 0.3;

    private final Map<T, Double> mbPerMs;

    /**
     * Creates an estimator with initial speeds.
     *
     * @param tiers the enum class of the tiers
     * @param initialMbPerSecond the initial speed of each tier, in MiB a second; must contain all tiers
     */
    public LoadTimeEstimator(Class<T> tiers, Map<T, Double> initialMbPerSecond) {
        this.mbPerMs = new EnumMap<>(tiers);
        for (T tier : tiers.getEnumConstants()) {
            mbPerMs.put(tier, initialMbPerSecond.get(tier) / 1_000);
        }
    }

    /** Records the size in MiB and the duration in milliseconds of a load from a tier. */
    public void observe(T tier, int memoryMb, long durationMs) {
        double observed = (double) Math.max(1, memoryMb) / Math.max(1, durationMs);
        mbPerMs.merge(tier, observed, (old, now) -> old + SMOOTHING_FACTOR * (now - old));
    }

    /** Returns the expected duration of a load of this size from a tier, in milliseconds; at least 1. */
    public long expectedMs(T tier, int memoryMb) {
        return Math.max(1, Math.round(memoryMb / mbPerMs.get(tier)));
    }
}

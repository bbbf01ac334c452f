package org.hawthornglade.core.load;

import java.util.EnumMap;
import java.util.Map;

/**
 * Learns how long loads take from each checkpoint tier.
 *
 * @param <T> the tiers
 */
public final class LoadTimeEstimator<T extends Enum<T>> {
    private static final double SMOOTHING_FACTOR = 0.3;

    private final Map<T, Double> mbPerMs;

    /**
     * Starts with assumed speeds.
     *
     * @param tiers the type of the tiers
     * @param initialMbPerSecond the speed of each tier, in MiB a second; all tiers must be given
     */
    public LoadTimeEstimator(Class<T> tiers, Map<T, Double> initialMbPerSecond) {
        this.mbPerMs = new EnumMap<>(tiers);
        for (T tier : tiers.getEnumConstants()) {
            mbPerMs.put(tier, initialMbPerSecond.get(tier) / 1_000);
        }
    }

    /** Takes note of a load of this size that took this long. */
    public void observe(T tier, int memoryMb, long durationMs) {
        double observed = (double) Math.max(1, memoryMb) / Math.max(1, durationMs);
        mbPerMs.merge(tier, observed, (old, now) -> old + SMOOTHING_FACTOR * (now - old));
    }

    /** Returns how long a load of this size is expected to take, in milliseconds; at least 1. */
    public long expectedMs(T tier, int memoryMb) {
        return Math.max(1, Math.round(memoryMb / mbPerMs.get(tier)));
    }
}

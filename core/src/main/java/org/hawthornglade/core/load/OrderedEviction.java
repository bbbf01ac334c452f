package org.hawthornglade.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Selects models to unload in a fixed order of preference until enough memory is freed. */
public final class OrderedEviction implements EvictionPolicy {
    private static final Comparator<EvictionCandidate> LEAST_RECENTLY_USED =
            Comparator.comparingLong(EvictionCandidate::lastUsedAtMs);

    private static final double DEFAULT_TAIL_EXPONENT = 2;

    private final Comparator<EvictionCandidate> order;

    private OrderedEviction(Comparator<EvictionCandidate> order) {
        this.order = order.thenComparing(EvictionCandidate::name);
    }

    /** Returns a policy that unloads the least recently used models first. */
    public static OrderedEviction leastRecentlyUsed() {
        return new OrderedEviction(LEAST_RECENTLY_USED);
    }

    /**
     * Returns a policy that unloads the models first whose reload costs the least waiting for the memory that they
     * hold; long loads weigh more.
     */
    public static OrderedEviction cheapestToReload() {
        return cheapestToReload(DEFAULT_TAIL_EXPONENT);
    }

    /**
     * Returns a policy that unloads the models first whose reload costs the least waiting for the memory that they
     * hold.
     *
     * @param tailExponent how much more a long load weighs than several short ones of the same total time; 1 if not at
     *     all
     */
    public static OrderedEviction cheapestToReload(double tailExponent) {
        return new OrderedEviction(Comparator.comparingDouble(resident -> resident.requestsPerHour()
                * Math.pow((double) resident.reloadMs(), tailExponent)
                / Math.max(1, resident.memoryMb())));
    }

    @Override
    public List<EvictionCandidate> choose(List<EvictionCandidate> idle, int neededMb, long nowMs) {
        List<EvictionCandidate> sorted = new ArrayList<>(idle);
        sorted.sort(order);
        List<EvictionCandidate> chosen = new ArrayList<>();
        int freedMb = 0;
        for (EvictionCandidate resident : sorted) {
            if (freedMb >= neededMb) {
                break;
            }
            chosen.add(resident);
            freedMb += resident.memoryMb();
        }
        return freedMb >= neededMb ? chosen : List.of();
    }
}

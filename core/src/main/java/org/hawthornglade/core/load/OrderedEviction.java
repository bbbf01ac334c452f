package org.hawthornglade.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Unloads in a fixed order of preference until enough memory is free. */
public final class OrderedEviction implements EvictionPolicy {
    private static final Comparator<EvictionCandidate> LEAST_RECENTLY_USED = Comparator.comparingLong(EvictionCandidate::lastUsedAtMs);

    private static final double DEFAULT_TAIL_EXPONENT = 2;

    private final Comparator<EvictionCandidate> order;

    private OrderedEviction(Comparator<EvictionCandidate> order) {
        this.order = order.thenComparing(EvictionCandidate::name);
    }

    /** Unloads first what was used longest ago. */
    public static OrderedEviction leastRecentlyUsed() {
        return new OrderedEviction(LEAST_RECENTLY_USED);
    }

    /** Unloads first what costs the least waiting to bring back for the memory it holds; long loads weigh more. */
    public static OrderedEviction cheapestToReload() {
        return cheapestToReload(DEFAULT_TAIL_EXPONENT);
    }

    /**
     * Unloads first what costs the least waiting to bring back for the memory it holds; keeps what is dear to reload.
     *
     * @param tailExponent how much more a long load weighs than several short ones of the same sum; 1 for not at all
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

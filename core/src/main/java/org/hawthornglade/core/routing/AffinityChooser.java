package org.hawthornglade.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the less loaded of two random endpoints, with load-bounded affinity to adapters and prompt prefixes.
 *
 * <p>The load is taken from the lagging report and corrected by the entry's own requests. A prompt prefix has one
 * preferred endpoint by rendezvous hashing, so affinity needs no cache events. Affinity does not apply if its endpoint
 * is busier than the least busy one by more than a tolerance.
 */
public final class AffinityChooser implements EndpointChooser {
    private final double affinityTolerance;
    private final double packBelow;

    /**
     * Creates a chooser that spreads requests.
     *
     * @param affinityTolerance the share of its slots by which the endpoint of an affinity may be busier than the least
     *     busy one; from 0 to 1
     */
    public AffinityChooser(double affinityTolerance) {
        this(affinityTolerance, 0);
    }

    /**
     * Creates a chooser that fills endpoints one after the other, so that the others become idle and can be unloaded.
     *
     * @param affinityTolerance as for the chooser that spreads requests
     * @param packBelow the share of its slots up to which an endpoint is filled before the next; 0 to spread requests
     */
    public AffinityChooser(double affinityTolerance, double packBelow) {
        this.affinityTolerance = affinityTolerance;
        this.packBelow = packBelow;
    }

    @Override
    public Optional<EndpointView> choose(RouteQuery query, List<EndpointView> candidates, RandomGenerator random) {
        List<EndpointView> free = new ArrayList<>(candidates.size());
        double leastBusy = Double.MAX_VALUE;
        for (EndpointView endpoint : candidates) {
            if (endpoint.hasFreeSlot()) {
                free.add(endpoint);
                leastBusy = Math.min(leastBusy, utilisation(endpoint));
            }
        }
        if (free.size() <= 1) {
            return free.stream().findFirst();
        }
        Optional<EndpointView> packed = firstToPack(free);
        if (packed.isPresent()) {
            return packed;
        }
        double limit = leastBusy + affinityTolerance;
        List<EndpointView> pool = withAdapter(query, free, limit);
        if (query.prefixHash() != 0) {
            EndpointView preferred = preferred(query.prefixHash(), pool);
            if (utilisation(preferred) <= limit) {
                return Optional.of(preferred);
            }
        }
        return Optional.of(betterOfTwo(query, pool, random));
    }

    // All entries fill endpoints in the order of the instance ids, so that they agree without communication.
    private Optional<EndpointView> firstToPack(List<EndpointView> free) {
        EndpointView first = null;
        for (EndpointView endpoint : free) {
            boolean hasRoom = utilisation(endpoint) < packBelow;
            if (hasRoom && (first == null || endpoint.instance().compareTo(first.instance()) < 0)) {
                first = endpoint;
            }
        }
        return Optional.ofNullable(first);
    }

    private static List<EndpointView> withAdapter(RouteQuery query, List<EndpointView> free, double limit) {
        if (query.adapter() == null) {
            return free;
        }
        List<EndpointView> loaded = free.stream()
                .filter(endpoint -> endpoint.adapterLoaded() && utilisation(endpoint) <= limit)
                .toList();
        return loaded.isEmpty() ? free : loaded;
    }

    private static EndpointView betterOfTwo(RouteQuery query, List<EndpointView> pool, RandomGenerator random) {
        if (pool.size() == 1) {
            return pool.get(0);
        }
        int first = random.nextInt(pool.size());
        int second = random.nextInt(pool.size() - 1);
        second = second >= first ? second + 1 : second;
        return better(query, pool.get(first), pool.get(second));
    }

    // The entry's own failure domain is preferred only between equally busy endpoints.
    private static EndpointView better(RouteQuery query, EndpointView one, EndpointView other) {
        int compared = Double.compare(utilisation(one), utilisation(other));
        if (compared != 0) {
            return compared < 0 ? one : other;
        }
        return other.domain().equals(query.domain()) && !one.domain().equals(query.domain()) ? other : one;
    }

    private static EndpointView preferred(long prefixHash, List<EndpointView> pool) {
        EndpointView best = pool.get(0);
        for (EndpointView endpoint : pool) {
            if (mix(prefixHash, endpoint) > mix(prefixHash, best)) {
                best = endpoint;
            }
        }
        return best;
    }

    // The finaliser of the SplitMix64 generator.
    private static long mix(long prefixHash, EndpointView endpoint) {
        long z = prefixHash ^ (endpoint.instance().value().hashCode() * 0x9E3779B97F4A7C15L);
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    private static double utilisation(EndpointView endpoint) {
        return (double) endpoint.expectedRunning() / endpoint.maxConcurrent();
    }
}

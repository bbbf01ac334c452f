package org.hawthornglade.core.load;

import java.util.Comparator;
import java.util.List;

/**
 * Orders loads by the request rate for each second of loading, highest first, regardless of what waits now.
 *
 * <p>This is the rank of Labrinidis and Roussopoulos, "Update Propagation Strategies for Improving the Quality of Data
 * on the Web" (2001), with a load instead of a refresh.
 */
public final class PopularityLoadOrder implements LoadOrder {
    private static final Comparator<LoadCandidate> ORDER = Comparator.comparingDouble(
            candidate -> -candidate.requestsPerHour() / Math.max(1, candidate.expectedLoadMs()));

    @Override
    public List<LoadCandidate> order(List<LoadCandidate> candidates, int availableMb, long nowMs) {
        return MemoryFit.sortAndFit(candidates, ORDER, availableMb);
    }
}

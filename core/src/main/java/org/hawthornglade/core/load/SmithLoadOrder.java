package org.hawthornglade.core.load;

import java.util.Comparator;
import java.util.List;

/**
 * Orders loads by waiting weight for each second of loading, highest first (Smith's rule).
 *
 * <p>The waiting weight grows with the time already waited, so that a rarely requested model with a slow load does not
 * starve.
 */
public final class SmithLoadOrder implements LoadOrder {
    private final long ageingMs;

    /**
     * Creates the order.
     *
     * @param ageingMs the wait after which the weight of a candidate has doubled, in milliseconds; above 0
     */
    public SmithLoadOrder(long ageingMs) {
        this.ageingMs = ageingMs;
    }

    @Override
    public List<LoadCandidate> order(List<LoadCandidate> candidates, int availableMb, long nowMs) {
        Comparator<LoadCandidate> order =
                Comparator.comparingDouble((LoadCandidate candidate) -> -rank(candidate, nowMs));
        return MemoryFit.sortAndFit(candidates, order, availableMb);
    }

    private double rank(LoadCandidate candidate, long nowMs) {
        double waitedMs = Math.max(0, nowMs - candidate.requestedSinceMs());
        double ageFactor = 1 + waitedMs / ageingMs;
        return candidate.waitingWeight() * ageFactor / Math.max(1, candidate.expectedLoadMs());
    }
}

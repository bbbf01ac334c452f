package org.hawthornglade.core.load;

import java.util.Comparator;
import java.util.List;

/**
 * Loads first what has the most waiting weight for each second of loading (Smith's rule).
 *
 * <p>Waiting weight grows with the time already waited, so that a rarely asked-for model with a slow load is not
 * overtaken for ever.
 */
public final class SmithLoadOrder implements LoadOrder {
    private final long ageingMs;

    /**
     * Makes the order.
     *
     * @param ageingMs after how long a wait a candidate's weight has doubled, in milliseconds; above 0
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
        double age = 1 + waitedMs / ageingMs;
        return candidate.waitingWeight() * age / Math.max(1, candidate.expectedLoadMs());
    }
}

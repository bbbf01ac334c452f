package org.hawthornglade.core.load;

import java.util.Comparator;
import java.util.List;

/** Orders loads by the time at which they were first requested. */
public final class FifoLoadOrder implements LoadOrder {
    private static final Comparator<LoadCandidate> ORDER = Comparator.comparingLong(LoadCandidate::requestedSinceMs);

    @Override
    public List<LoadCandidate> order(List<LoadCandidate> candidates, int availableMb, long nowMs) {
        return MemoryFit.sortAndFit(candidates, ORDER, availableMb);
    }
}

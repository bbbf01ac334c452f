package org.hawthornglade.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Sorts candidates and selects in that order those that fit into the remaining memory. */
final class MemoryFit {
    private MemoryFit() {}

    static List<LoadCandidate> sortAndFit(
            List<LoadCandidate> candidates, Comparator<LoadCandidate> order, int availableMb) {
        List<LoadCandidate> sorted = new ArrayList<>(candidates);
        sorted.sort(order.thenComparing(LoadCandidate::name));
        List<LoadCandidate> fitting = new ArrayList<>(sorted.size());
        int leftMb = availableMb;
        for (LoadCandidate candidate : sorted) {
            if (candidate.memoryMb() > leftMb) {
                continue;
            }
            leftMb -= candidate.memoryMb();
            fitting.add(candidate);
        }
        return fitting;
    }
}

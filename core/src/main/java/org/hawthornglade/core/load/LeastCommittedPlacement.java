package org.hawthornglade.core.load;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.FailureDomain;

/**
 * Places a replica on the instance with the lowest share of committed memory, in a failure domain without a replica of
 * the model if possible.
 */
public final class LeastCommittedPlacement implements ReplicaPlacement {
    @Override
    public Optional<PlacementOption> choose(int memoryMb, List<PlacementOption> options, Set<FailureDomain> taken) {
        return options.stream()
                .filter(option -> option.memoryMb() >= memoryMb)
                .min(Comparator.comparing((PlacementOption option) -> taken.contains(option.domain()))
                        .thenComparingDouble(PlacementOption::commitment)
                        .thenComparing(PlacementOption::instance));
    }
}

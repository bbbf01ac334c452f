package org.hawthornglade.core.load;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.FailureDomain;

/** Places a replica where the least memory is promised; a failure domain without one goes first. */
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

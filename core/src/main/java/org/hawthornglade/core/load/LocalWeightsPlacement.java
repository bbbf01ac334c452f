package org.hawthornglade.core.load;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.FailureDomain;

/**
 * Places a replica where its load is quick, unless too much is promised there already.
 *
 * <p>Each further time that an instance's memory is promised counts like a fixed delay, since its models must then
 * make room for each other. A failure domain without a replica of the model goes first.
 */
public final class LocalWeightsPlacement implements ReplicaPlacement {
    private final long commitmentPenaltyMs;

    /**
     * Makes a placement.
     *
     * @param commitmentPenaltyMs how much load time one more promise of the whole memory weighs, in milliseconds
     */
    public LocalWeightsPlacement(long commitmentPenaltyMs) {
        this.commitmentPenaltyMs = commitmentPenaltyMs;
    }

    @Override
    public Optional<PlacementOption> choose(int memoryMb, List<PlacementOption> options, Set<FailureDomain> taken) {
        return options.stream()
                .filter(option -> option.memoryMb() >= memoryMb)
                .min(Comparator.comparing((PlacementOption option) -> taken.contains(option.domain()))
                        .thenComparingDouble(
                                option -> option.expectedLoadMs() + option.commitment() * commitmentPenaltyMs)
                        .thenComparing(PlacementOption::instance));
    }
}

package org.hawthornglade.core.load;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.FailureDomain;

/**
 * Places a replica where its load is fast, unless too much memory is committed there already.
 *
 * <p>Each further multiple of its memory that is committed at an instance counts like a fixed delay, since its models
 * must then make room for each other. A failure domain without a replica of the model is preferred.
 */
public final class LocalWeightsPlacement implements ReplicaPlacement {
    private final long commitmentPenaltyMs;

    /**
     * Creates a placement.
     *
     * @param commitmentPenaltyMs the load time that committing the whole memory of an instance once more counts as, in
     *     milliseconds
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

package org.hawthornglade.core.load;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.FailureDomain;

/** Chooses the instance to which a replica is assigned. */
@FunctionalInterface
public interface ReplicaPlacement {
    /**
     * Chooses an instance.
     *
     * @param memoryMb the accelerator memory that the replica takes, in MiB
     * @param options the live instances that hold no replica of the model
     * @param taken the failure domains that hold other replicas of the model
     * @return the chosen instance; empty if the replica fits into none
     */
    Optional<PlacementOption> choose(int memoryMb, List<PlacementOption> options, Set<FailureDomain> taken);
}

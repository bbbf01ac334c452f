package org.hawthornglade.core.load;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;

/**
 * An instance to which a replica could be assigned.
 *
 * @param instance the instance
 * @param domain its failure domain
 * @param memoryMb its accelerator memory, in MiB
 * @param committedMb the memory that the replicas assigned to it would take if all were loaded, in MiB
 * @param expectedLoadMs the expected duration of the replica's load there, in milliseconds
 */
public record PlacementOption(
        InstanceId instance, FailureDomain domain, int memoryMb, int committedMb, long expectedLoadMs) {
    /** Returns the memory committed to assigned replicas, as a multiple of the instance's memory. */
    double commitment() {
        return (double) committedMb / Math.max(1, memoryMb);
    }
}

package org.hawthornglade.core.load;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;

/**
 * An instance that could get the assignment of a replica.
 *
 * @param instance the instance
 * @param domain its failure domain
 * @param memoryMb its accelerator memory, in MiB
 * @param committedMb what the replicas assigned to it would take if all were loaded, in MiB
 * @param expectedLoadMs how long the replica's load would take there, in milliseconds
 */
public record PlacementOption(
        InstanceId instance, FailureDomain domain, int memoryMb, int committedMb, long expectedLoadMs) {
    /** Returns how often its memory would be taken if all that is assigned to it were loaded. */
    double commitment() {
        return (double) committedMb / Math.max(1, memoryMb);
    }
}

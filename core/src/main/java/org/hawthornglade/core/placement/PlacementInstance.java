package org.hawthornglade.core.placement;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;

/**
 * The properties of an engine instance that placement considers.
 *
 * @param id the instance
 * @param failureDomain the failure domain in which it runs
 * @param memoryMb its accelerator memory, in MiB
 * @param accelerators how many accelerators it has
 * @param availability whether replicas may be assigned to it
 */
public record PlacementInstance(
        InstanceId id, FailureDomain failureDomain, int memoryMb, int accelerators, Availability availability) {}

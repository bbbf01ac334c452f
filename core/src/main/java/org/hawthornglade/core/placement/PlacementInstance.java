package org.hawthornglade.core.placement;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;

/**
 * An instance with an engine, as placement sees it.
 *
 * @param id the instance
 * @param failureDomain where it runs
 * @param memoryMb its accelerator memory, in MiB
 * @param accelerators how many accelerators it has
 * @param availability whether it may be given replicas
 */
public record PlacementInstance(
        InstanceId id, FailureDomain failureDomain, int memoryMb, int accelerators, Availability availability) {}

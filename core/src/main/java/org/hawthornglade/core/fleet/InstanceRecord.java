package org.hawthornglade.core.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;

/**
 * The latest record of an instance on the platform's list.
 *
 * @param id the instance; usually new at each start
 * @param service the service that it runs
 * @param softwareVersion the version of its software
 * @param address the address on which it listens
 * @param failureDomain the failure domain in which it runs
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it has announced that it will stop
 * @param remainingMs the time until it stops, if it has announced one
 * @param bornMs the wall-clock time of its start, which identifies the run
 * @param recordSequence rises with each record of one run
 * @param models the models in accelerator memory, each with its adapters
 * @param inMemory the models whose weights are cached in host memory
 * @param onDisk the models whose weights are cached on its disk
 */
public record InstanceRecord(
        InstanceId id,
        ServiceName service,
        SoftwareVersion softwareVersion,
        InstanceAddress address,
        FailureDomain failureDomain,
        int slots,
        boolean leaving,
        OptionalLong remainingMs,
        long bornMs,
        long recordSequence,
        Map<ModelName, Set<AdapterName>> models,
        Set<ModelName> inMemory,
        Set<ModelName> onDisk) {
    /** Copies the collections. */
    public InstanceRecord {
        models = ImmutableMap.copyOf(models);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }
}

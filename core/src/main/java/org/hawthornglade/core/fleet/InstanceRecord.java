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

/**
 * What an instance last said of itself on the platform's list.
 *
 * @param id the instance; mostly new at each start
 * @param service the service that it runs
 * @param address where it listens
 * @param failureDomain where it stands
 * @param slots how many requests it runs at once
 * @param leaving whether it has announced that it will stop
 * @param remainingMs the time until it is gone, where it was announced
 * @param bornMs the wall time of its start
 * @param recordSequence rises with each record of one start
 * @param models the models in accelerator memory, each with its adapters
 * @param inMemory the models whose weights lie in host memory
 * @param onDisk the models whose weights lie on its disk
 */
public record InstanceRecord(
        InstanceId id,
        ServiceName service,
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

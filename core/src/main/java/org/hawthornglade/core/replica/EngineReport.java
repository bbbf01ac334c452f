package org.hawthornglade.core.replica;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;

/**
 * The report that an engine returns on request; it may be some hundred milliseconds old.
 *
 * @param version the start of the engine and the number of orders that it has accepted
 * @param busy whether the engine is loading or unloading a model
 * @param models the models in accelerator memory, with their adapters
 * @param inMemory the models whose weights are in host memory
 * @param onDisk the models whose weights are on the host's disk
 */
public record EngineReport(
        InstanceVersion version,
        boolean busy,
        Map<ModelName, Set<AdapterName>> models,
        Set<ModelName> inMemory,
        Set<ModelName> onDisk) {
    /** Copies the collections. */
    public EngineReport {
        models = ImmutableMap.copyOf(models);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }
}

package org.hawthornglade.core.replica;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;

/**
 * What an engine answers when asked; some hundred milliseconds old.
 *
 * @param version its start and the orders that it has accepted
 * @param busy whether it is loading or unloading a model
 * @param models the models in accelerator memory with their adapters
 * @param inMemory the models whose weights lie in host memory
 * @param onDisk the models whose weights lie on its disk
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

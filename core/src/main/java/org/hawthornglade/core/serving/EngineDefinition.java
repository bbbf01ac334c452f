package org.hawthornglade.core.serving;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.hawthornglade.core.id.ModelName;

/**
 * The properties shared by all model engines of a service.
 *
 * @param batchSlots the maximum number of concurrent requests per instance
 * @param kvCapacityTokens the capacity of the KV cache in tokens
 * @param modelMemoryMb the accelerator memory for weights and adapters together
 * @param adapterSlots the maximum number of adapters loaded beside the weights
 * @param remoteLoadsPerSecond the number of loads from the weight store that may start per second, over all instances
 * @param models the models that can be requested
 */
public record EngineDefinition(
        int batchSlots,
        long kvCapacityTokens,
        double modelMemoryMb,
        int adapterSlots,
        double remoteLoadsPerSecond,
        Map<ModelName, ModelDefinition> models) {
    /** Copies the map and keeps its order. */
    public EngineDefinition {
        models = ImmutableMap.copyOf(models);
    }
}

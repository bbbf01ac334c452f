package org.hawthornglade.core.serving;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.hawthornglade.core.id.ModelName;

/**
 * What the model engines of a service have in common.
 *
 * @param batchSlots how many requests run at once on an instance
 * @param kvCapacityTokens memory for the KV cache
 * @param modelMemoryMb accelerator memory for weights and adapters together
 * @param adapterSlots how many adapters fit beside the weights
 * @param remoteLoadsPerSecond how many loads from the weight store may begin a second over all instances
 * @param models every model that may be asked for
 */
public record EngineDefinition(
        int batchSlots,
        long kvCapacityTokens,
        double modelMemoryMb,
        int adapterSlots,
        double remoteLoadsPerSecond,
        Map<ModelName, ModelDefinition> models) {
    /** Copies the models in their order. */
    public EngineDefinition {
        models = ImmutableMap.copyOf(models);
    }
}

package org.hawthornglade.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.id.ModelName;

/**
 * The resources of an instance that one replica of a model takes.
 *
 * @param memoryMb the memory for its weights, its KV cache and its largest adapter, in MiB
 * @param accelerators how many accelerators it takes
 */
public record Footprint(int memoryMb, int accelerators) {
    static final Footprint NONE = new Footprint(0, 0);

    /** Returns the footprint of every model of a configuration. */
    public static Map<ModelName, Footprint> of(Configuration configuration) {
        Map<ModelName, Integer> largestAdapterMb = new HashMap<>();
        for (AdapterSpec adapter : configuration.adapters()) {
            largestAdapterMb.merge(adapter.base(), adapter.memoryMb(), Math::max);
        }
        Map<ModelName, Footprint> footprints = new HashMap<>();
        for (ModelSpec model : configuration.models()) {
            int memoryMb = model.reservedMb() + largestAdapterMb.getOrDefault(model.name(), 0);
            footprints.put(model.name(), new Footprint(memoryMb, model.accelerators()));
        }
        return footprints;
    }

    /** Returns whether an otherwise empty instance can hold one such replica. */
    public boolean fits(PlacementInstance instance) {
        return memoryMb <= instance.memoryMb() && accelerators <= instance.accelerators();
    }
}

package org.hawthornglade.core.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * The models placed on one instance, as reported by the placement leader.
 *
 * @param instance the instance
 * @param bornMs the start time that identifies the run of the instance
 * @param models the models that are loaded or being loaded or unloaded
 */
public record InstancePlacement(InstanceId instance, long bornMs, Map<ModelName, ReplicaState> models) {
    /** Copies the map. */
    public InstancePlacement {
        models = ImmutableMap.copyOf(models);
    }

    /** Returns when each model that is being loaded, or will be, is expected to be ready, in milliseconds. */
    public Map<ModelName, Long> loads() {
        Map<ModelName, Long> loads = new HashMap<>();
        models.forEach((model, state) -> {
            if (state.status() == ReplicaStatus.LOADING) {
                loads.put(model, state.readyAtMs());
            }
        });
        return loads;
    }

    /** Returns a copy in which just the given models are being loaded; models that are ready stay ready. */
    public InstancePlacement withLoads(Map<ModelName, Long> readyAtMs) {
        Map<ModelName, ReplicaState> changed = new HashMap<>(models);
        changed.values().removeIf(state -> state.status() == ReplicaStatus.LOADING);
        readyAtMs.forEach(
                (model, atMs) -> changed.putIfAbsent(model, new ReplicaState(ReplicaStatus.LOADING, atMs, Map.of())));
        return new InstancePlacement(instance, bornMs, changed);
    }
}

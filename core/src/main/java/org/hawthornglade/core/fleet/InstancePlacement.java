package org.hawthornglade.core.fleet;

import com.google.common.collect.ImmutableMap;
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
}

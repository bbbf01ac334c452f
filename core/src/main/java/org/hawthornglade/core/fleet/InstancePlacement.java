package org.hawthornglade.core.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * What the placement leader tells of one instance.
 *
 * @param instance the instance
 * @param bornMs the start of the instance that this refers to
 * @param models the models on it or on their way
 */
public record InstancePlacement(InstanceId instance, long bornMs, Map<ModelName, ReplicaState> models) {
    /** Copies the models. */
    public InstancePlacement {
        models = ImmutableMap.copyOf(models);
    }
}

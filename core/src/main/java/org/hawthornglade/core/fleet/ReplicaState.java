package org.hawthornglade.core.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.hawthornglade.core.id.AdapterName;

/**
 * The state of a model on an instance, as reported by the placement leader.
 *
 * @param status the status of the model
 * @param readyAtMs when it is expected to be ready, in milliseconds on the local clock; 0 unless it is loading
 * @param adapters the status of each adapter of the model
 */
public record ReplicaState(ReplicaStatus status, long readyAtMs, Map<AdapterName, ReplicaStatus> adapters) {
    /** Copies the map. */
    public ReplicaState {
        adapters = ImmutableMap.copyOf(adapters);
    }
}

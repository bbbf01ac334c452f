package org.hawthornglade.core.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.hawthornglade.core.id.AdapterName;

/**
 * A model on an instance as the placement leader knows it.
 *
 * @param status how far it is
 * @param readyAtMs when it is expected to be ready, on the local clock; 0 unless loading
 * @param adapters each adapter on it with its status
 */
public record ReplicaState(ReplicaStatus status, long readyAtMs, Map<AdapterName, ReplicaStatus> adapters) {
    /** Copies the adapters. */
    public ReplicaState {
        adapters = ImmutableMap.copyOf(adapters);
    }
}

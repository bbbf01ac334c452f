package org.hawthornglade.core.report;

import java.util.List;
import org.hawthornglade.core.id.ModelName;

/**
 * The state of one replica assigned to an agent, as reported by the agent.
 *
 * @param model the base model
 * @param ordinal the number of the replica among those of the model
 * @param phase its phase
 * @param running the number of requests that it runs
 * @param maxConcurrent the maximum number of requests that it runs concurrently
 * @param readyInMs the expected time until it is ready, in milliseconds; 0 if it is ready, -1 if unknown
 * @param loadEstimateMs the estimated duration of a load started now, in milliseconds
 * @param adapters the adapters loaded on it
 * @param version the version of the checkpoint
 */
public record ReplicaView(
        ModelName model,
        int ordinal,
        ReplicaPhase phase,
        int running,
        int maxConcurrent,
        long readyInMs,
        long loadEstimateMs,
        List<ModelName> adapters,
        String version) {
    /** Copies the list. */
    public ReplicaView {
        adapters = List.copyOf(adapters);
    }

    public boolean ready() {
        return phase == ReplicaPhase.READY;
    }
}

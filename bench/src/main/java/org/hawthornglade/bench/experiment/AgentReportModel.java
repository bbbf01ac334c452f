package org.hawthornglade.bench.experiment;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;

/**
 * A snapshot of an agent's state as reported to entries.
 *
 * @param replicas the agent's replicas by model
 */
record AgentReportModel(Map<ModelName, ReplicaView> replicas) {
    /**
     * The reported state of one replica.
     *
     * @param ready whether the replica is loaded
     * @param running the number of running requests
     * @param runningOf the number of running requests of each entry
     * @param readyAtMs when it is expected to be ready, in milliseconds; -1 if it is not loading
     * @param loadEstimateMs how long its load takes, in milliseconds
     * @param adapters the adapters loaded on it
     */
    record ReplicaView(
            boolean ready,
            int running,
            List<Integer> runningOf,
            long readyAtMs,
            long loadEstimateMs,
            Set<ModelName> adapters) {}
}

package org.hawthornglade.bench.experiment;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;

/**
 * What an agent told entries, taken at one time.
 *
 * @param replicas its replicas by model
 */
record AgentReportModel(Map<ModelName, ReplicaView> replicas) {
    /**
     * One replica as reported.
     *
     * @param ready whether it is loaded
     * @param running how many requests it ran
     * @param runningOf how many of them were of each entry
     * @param readyAtMs when it is expected to be ready if it loads, in milliseconds; -1 if it is absent
     * @param loadEstimateMs how long its load takes, in milliseconds
     * @param adapters the adapters it has
     */
    record ReplicaView(
            boolean ready,
            int running,
            List<Integer> runningOf,
            long readyAtMs,
            long loadEstimateMs,
            Set<ModelName> adapters) {}
}

package org.hawthornglade.core.report;

import java.util.List;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;

/**
 * The state of an agent and its endpoint, as reported by the agent.
 *
 * @param instance the agent's instance
 * @param failureDomain the failure domain in which it runs
 * @param bootId identifies the run of the agent
 * @param revision rises with each change in this run
 * @param configVersion the configuration version in force at the agent
 * @param draining whether it is draining and accepts no new attempts
 * @param endpointReachable whether its endpoint is reachable
 * @param replicas the replicas assigned to it
 * @param running the number of running attempts
 * @param freeMemoryMb the unreserved accelerator memory in MiB
 * @param service the plain service at its endpoint; null if it is an engine
 * @param serviceMaxConcurrent the maximum number of concurrent calls of the plain service; 0 if it is an engine
 */
public record AgentView(
        InstanceId instance,
        FailureDomain failureDomain,
        long bootId,
        long revision,
        long configVersion,
        boolean draining,
        boolean endpointReachable,
        List<ReplicaView> replicas,
        int running,
        int freeMemoryMb,
        ServiceName service,
        int serviceMaxConcurrent) {
    /** Copies the list. */
    public AgentView {
        replicas = List.copyOf(replicas);
    }
}

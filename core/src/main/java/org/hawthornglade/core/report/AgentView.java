package org.hawthornglade.core.report;

import java.util.List;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;

/**
 * What an agent says of itself and its endpoint.
 *
 * @param instance the agent's instance
 * @param failureDomain where it runs
 * @param bootId tells the agent's runs apart
 * @param revision grows with every change in this run
 * @param configVersion the configuration version in force at the agent
 * @param draining whether it takes no new work
 * @param endpointReachable whether its endpoint answers
 * @param replicas the replicas assigned to it
 * @param running how many attempts it runs
 * @param freeMemoryMb accelerator memory that nothing reserves, in MiB
 * @param service the plain service at its endpoint; null if it is an engine
 * @param serviceMaxConcurrent how many calls the plain service runs at once; 0 if it is an engine
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

package org.hawthornglade.core.agent;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;

/**
 * The identity of an agent.
 *
 * @param instance the instance of the agent
 * @param failureDomain the failure domain of the instance
 * @param bootId the start time of the agent's process, in milliseconds
 * @param service the plain service at the agent's endpoint; null if the endpoint is an engine
 */
public record AgentIdentity(InstanceId instance, FailureDomain failureDomain, long bootId, ServiceName service) {
    public boolean servesModels() {
        return service == null;
    }
}

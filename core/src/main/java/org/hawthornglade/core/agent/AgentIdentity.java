package org.hawthornglade.core.agent;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;

/**
 * Who an agent is.
 *
 * @param instance its instance
 * @param failureDomain where it runs
 * @param bootId the start time of its process in milliseconds
 * @param service the plain service at its endpoint; null if it is an engine
 */
public record AgentIdentity(InstanceId instance, FailureDomain failureDomain, long bootId, ServiceName service) {
    public boolean servesModels() {
        return service == null;
    }
}

package org.hawthornglade.core.dispatch;

import java.util.List;
import org.hawthornglade.core.fleet.Endpoint;

/** Selects the endpoint of a call among those of its service. */
public interface EndpointSelector {
    /**
     * Selects an endpoint, or decides that the call waits or is refused.
     *
     * @param call the call
     * @param usable the service's instances that accept new calls; not empty
     * @param nowMs the current time in milliseconds
     */
    Decision select(CallView call, List<Endpoint> usable, long nowMs);
}

package org.hawthornglade.core.dispatch;

import java.util.List;
import org.hawthornglade.core.fleet.Endpoint;

/** Picks the endpoint for a call out of those of its service. */
public interface EndpointSelector {
    /**
     * Picks an endpoint, or says that none can take the call now.
     *
     * @param call the call
     * @param usable the service's instances that take new work; not empty
     * @param nowMs the time now in milliseconds
     */
    Decision select(CallView call, List<Endpoint> usable, long nowMs);
}

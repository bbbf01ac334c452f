package org.hawthornglade.gateway.peer;

import java.util.Map;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.replica.EntryDemand;

/**
 * The demand that an entry sends to the leader.
 *
 * @param entry the name of the entry
 * @param services the demand for each service with engines
 * @param withoutArrivals whether the arrivals are omitted, so that those sent earlier still apply
 * @param permitRequests the advertised limits and permit requests for rate-limited endpoints
 */
public record DemandUpdate(
        String entry, Map<ServiceName, EntryDemand> services, boolean withoutArrivals, PermitRequests permitRequests) {
    /** Copies the map. */
    public DemandUpdate {
        services = Map.copyOf(services);
    }

    /** Returns a copy with the given permit requests. */
    public DemandUpdate withPermitRequests(PermitRequests requests) {
        return new DemandUpdate(entry, services, withoutArrivals, requests);
    }
}

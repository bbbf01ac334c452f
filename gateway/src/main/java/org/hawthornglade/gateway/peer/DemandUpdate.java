package org.hawthornglade.gateway.peer;

import java.util.Map;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.replica.EntryDemand;

/**
 * What an entry tells the leader.
 *
 * @param entry its name
 * @param services the demand for each service with engines
 * @param withoutArrivals whether the arrivals are left out, so that those told before go on to count
 * @param permitRequests what it was told, and wants, of endpoints with limits
 */
public record DemandUpdate(
        String entry, Map<ServiceName, EntryDemand> services, boolean withoutArrivals, PermitRequests permitRequests) {
    /** Copies the map. */
    public DemandUpdate {
        services = Map.copyOf(services);
    }

    /** Returns the same news with what is asked for. */
    public DemandUpdate withPermitRequests(PermitRequests other) {
        return new DemandUpdate(entry, services, withoutArrivals, other);
    }
}

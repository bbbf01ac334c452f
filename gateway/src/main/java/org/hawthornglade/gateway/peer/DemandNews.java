package org.hawthornglade.gateway.peer;

import java.util.Map;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.limit.EntryAsks;
import org.hawthornglade.core.replica.EntryDemand;

/**
 * What an entry tells the leader.
 *
 * @param entry its name
 * @param services the demand for each service with engines
 * @param withoutArrivals whether the arrivals are left out, so that those told before go on to count
 * @param asks what it was told, and wants, of endpoints with limits
 */
public record DemandNews(
        String entry, Map<ServiceName, EntryDemand> services, boolean withoutArrivals, EntryAsks asks) {
    /** Copies the map. */
    public DemandNews {
        services = Map.copyOf(services);
    }

    /** Returns the same news with what is asked for. */
    public DemandNews asking(EntryAsks other) {
        return new DemandNews(entry, services, withoutArrivals, other);
    }
}

package org.hawthornglade.gateway.peer;

import java.util.Map;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.replica.EntryDemand;

/**
 * What an entry tells the leader.
 *
 * @param entry its name
 * @param services the demand for each service with engines
 */
public record DemandNews(String entry, Map<ServiceName, EntryDemand> services) {
    /** Copies the map. */
    public DemandNews {
        services = Map.copyOf(services);
    }
}

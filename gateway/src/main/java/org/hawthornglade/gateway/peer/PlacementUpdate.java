package org.hawthornglade.gateway.peer;

import java.util.List;
import java.util.Map;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.lease.FencingToken;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.core.store.StoreRevision;

/**
 * The placements that the leader sends to entries.
 *
 * @param token the leader's fencing token
 * @param leaseRevision the revision of the lease row as last written by the leader
 * @param placements the models placed on each engine instance
 * @param running the number of calls in flight at each of them from all entries
 * @param entries the number of entries, including the leader
 * @param loadLimits the load limits that the leader has learned for the weight store of each service
 */
public record PlacementUpdate(
        FencingToken token,
        StoreRevision leaseRevision,
        List<InstancePlacement> placements,
        Map<InstanceId, Integer> running,
        int entries,
        Map<ServiceName, LoadLimits> loadLimits) {
    /** Copies the collections. */
    public PlacementUpdate {
        placements = List.copyOf(placements);
        running = Map.copyOf(running);
        loadLimits = Map.copyOf(loadLimits);
    }
}

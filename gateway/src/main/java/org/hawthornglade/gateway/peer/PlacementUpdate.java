package org.hawthornglade.gateway.peer;

import java.util.List;
import java.util.Map;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.replica.LoadLimits;

/**
 * What the leader tells entries.
 *
 * @param token the leader's fencing token
 * @param leaseRevision the revision of the lease row that the leader wrote last
 * @param placements the engines
 * @param running the calls under way at each of them from all entries
 * @param entries how many entries there are, the leader included
 * @param loadLimits what the leader has learned of the weight store of each service
 */
public record PlacementUpdate(
        long token,
        long leaseRevision,
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

package org.hawthornglade.gateway.peer;

import java.util.List;
import java.util.Map;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.id.InstanceId;

/**
 * What the leader tells entries.
 *
 * @param token the leader's fencing token
 * @param leaseRevision the revision of the lease row that the leader wrote last
 * @param placements the engines
 * @param running the calls under way at each of them from all entries
 * @param entries how many entries there are, the leader included
 */
public record PlacementNews(
        long token,
        long leaseRevision,
        List<InstancePlacement> placements,
        Map<InstanceId, Integer> running,
        int entries) {
    /** Copies the collections. */
    public PlacementNews {
        placements = List.copyOf(placements);
        running = Map.copyOf(running);
    }
}

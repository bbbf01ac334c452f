package org.hawthornglade.gateway.peer;

import java.util.HashMap;
import java.util.LinkedHashMap;
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
 * @param complete whether all instances are named; otherwise those that are not are as they were before
 * @param token the leader's fencing token
 * @param leaseRevision the revision of the lease row as last written by the leader
 * @param placements the models placed on each engine instance that is named
 * @param running the number of calls in flight at each instance from all entries
 * @param entries the number of entries, including the leader
 * @param loadLimits the load limits that the leader has learned for the weight store of each service
 */
public record PlacementUpdate(
        boolean complete,
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

    /** Returns a copy that names only the given placements and numbers of calls. */
    PlacementUpdate changes(List<InstancePlacement> changed, Map<InstanceId, Integer> changedRunning) {
        return new PlacementUpdate(false, token, leaseRevision, changed, changedRunning, entries, loadLimits);
    }

    /** Returns a complete update: this one, with what it does not name taken from an earlier complete one. */
    public PlacementUpdate mergedInto(PlacementUpdate earlier) {
        if (complete) {
            return this;
        }
        Map<InstanceId, InstancePlacement> merged = new LinkedHashMap<>();
        earlier.placements().forEach(placement -> merged.put(placement.instance(), placement));
        placements.forEach(placement -> merged.put(placement.instance(), placement));
        Map<InstanceId, Integer> mergedRunning = new HashMap<>(earlier.running());
        mergedRunning.putAll(running);
        return new PlacementUpdate(
                true, token, leaseRevision, List.copyOf(merged.values()), mergedRunning, entries, loadLimits);
    }
}

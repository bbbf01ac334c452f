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
 * @param loads what is being loaded at instances that are not named in {@code placements}; they load nothing else, and
 *     hold what they held before
 * @param running the number of calls in flight at each instance from all entries
 * @param entries the number of entries, including the leader
 * @param loadLimits the load limits that the leader has learned for the weight store of each service
 */
public record PlacementUpdate(
        boolean complete,
        FencingToken token,
        StoreRevision leaseRevision,
        List<InstancePlacement> placements,
        List<InstancePlacement> loads,
        Map<InstanceId, Integer> running,
        int entries,
        Map<ServiceName, LoadLimits> loadLimits) {
    /** Copies the collections. */
    public PlacementUpdate {
        placements = List.copyOf(placements);
        loads = List.copyOf(loads);
        running = Map.copyOf(running);
        loadLimits = Map.copyOf(loadLimits);
    }

    /** Returns a copy that names only the given placements, loads and numbers of calls. */
    PlacementUpdate changes(
            List<InstancePlacement> changed,
            List<InstancePlacement> changedLoads,
            Map<InstanceId, Integer> changedRunning) {
        return new PlacementUpdate(
                false, token, leaseRevision, changed, changedLoads, changedRunning, entries, loadLimits);
    }

    /** Returns a copy without instances and load limits, which shows just that the leader is alive. */
    PlacementUpdate withoutInstances() {
        return new PlacementUpdate(false, token, leaseRevision, List.of(), List.of(), Map.of(), entries, Map.of());
    }

    /** Returns this update with what it does not name taken from an earlier one. */
    public PlacementUpdate mergedInto(PlacementUpdate earlier) {
        if (complete) {
            return this;
        }
        Map<InstanceId, InstancePlacement> merged = new LinkedHashMap<>();
        earlier.placements().forEach(placement -> merged.put(placement.instance(), placement));
        for (InstancePlacement loading : loads) {
            merged.computeIfPresent(
                    loading.instance(),
                    (id, known) -> known.bornMs() == loading.bornMs() ? known.withLoads(loading.loads()) : known);
        }
        placements.forEach(placement -> merged.put(placement.instance(), placement));
        Map<InstanceId, Integer> mergedRunning = new HashMap<>(earlier.running());
        mergedRunning.putAll(running);
        return new PlacementUpdate(
                true,
                token,
                leaseRevision,
                List.copyOf(merged.values()),
                List.of(),
                mergedRunning,
                entries,
                loadLimits);
    }
}

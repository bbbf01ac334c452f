package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.id.InstanceId;

/** Remembers with which update the placement of each instance last changed, and the number of its calls. */
final class PlacementHistory {
    /** The newest state of an instance, with the serial numbers of the updates that changed it. */
    private record Entry(InstancePlacement placement, long placementSerial, int running, long runningSerial) {}

    private final Map<InstanceId, Entry> entries = new HashMap<>();
    private PlacementUpdate newest;
    private long serial;

    /** Records an update that names all instances. */
    void record(PlacementUpdate update) {
        serial++;
        newest = update;
        Set<InstanceId> present = new HashSet<>();
        for (InstancePlacement placement : update.placements()) {
            present.add(placement.instance());
            record(placement, update.running().getOrDefault(placement.instance(), 0));
        }
        entries.keySet().retainAll(present);
    }

    private void record(InstancePlacement placement, int running) {
        Entry known = entries.get(placement.instance());
        boolean samePlacement = known != null && known.placement().equals(placement);
        boolean sameRunning = known != null && known.running() == running;
        if (samePlacement && sameRunning) {
            return;
        }
        entries.put(
                placement.instance(),
                new Entry(
                        placement,
                        samePlacement ? known.placementSerial() : serial,
                        running,
                        sameRunning ? known.runningSerial() : serial));
    }

    /** Returns the serial number of the newest update; the first one has 1. */
    long serial() {
        return serial;
    }

    /** Returns the newest update. */
    PlacementUpdate newest() {
        return newest;
    }

    /**
     * Returns what has changed in the newest update.
     *
     * @param placementsSince the update after which changed placements are named, with the calls at these instances
     * @param runningSince the update after which changed numbers of calls are named, at all instances
     */
    PlacementUpdate changes(long placementsSince, long runningSince) {
        List<InstancePlacement> placements = new ArrayList<>();
        Map<InstanceId, Integer> running = new HashMap<>();
        entries.forEach((id, entry) -> {
            boolean placementChanged = entry.placementSerial() > placementsSince;
            if (placementChanged) {
                placements.add(entry.placement());
            }
            if (placementChanged || entry.runningSerial() > runningSince) {
                running.put(id, entry.running());
            }
        });
        return newest.changes(placements, running);
    }
}

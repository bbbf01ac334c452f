package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * Remembers when the placement of each instance last changed, the expected times of its loads, and its calls.
 *
 * <p>A load counts as a change of the placement only if its model was not being loaded or planned anywhere before.
 * That another engine is planned for it, or that it ends at another time, is a change of the expected times.
 */
final class PlacementHistory {
    /**
     * An expected time counts as changed if it differs by more than this share of the time left. Loads take 10 s or
     * more from the weight store and vary by more than a tenth.
     */
    private static final double LOAD_TIME_CHANGE_SHARE = 0.1;
    /** Smaller differences do not count as changes, however short the time left: a planning round takes as long. */
    private static final long MIN_LOAD_TIME_CHANGE_MS = 20;
    /** A frame names at most so many instances of a kind, so that no frame takes much of the budget of a second. */
    private static final int MAX_INSTANCES_PER_FRAME = 200;

    /** The newest state of an instance, and its loads as they were when they last counted as changed. */
    private record Entry(InstancePlacement newest, InstancePlacement settled, Map<ModelName, Long> loads, int running) {
        /** Returns the part of the placement that is being loaded. */
        InstancePlacement loading() {
            return new InstancePlacement(newest.instance(), newest.bornMs(), Map.of()).withLoads(newest.loads());
        }
    }

    /**
     * Changes to be sent.
     *
     * @param update the changes
     * @param marks the marks of a follower that was sent them
     */
    record Changes(PlacementUpdate update, PlacementMarks marks) {}

    private final Map<InstanceId, Entry> entries = new HashMap<>();
    private final ChangeIndex placementChanges = new ChangeIndex();
    private final ChangeIndex loadChanges = new ChangeIndex();
    private final ChangeIndex runningChanges = new ChangeIndex();
    private Set<ModelName> loadingModels = Set.of();
    private PlacementUpdate newest;
    private long serial;

    /** Records an update that names all instances. */
    void record(PlacementUpdate update, long nowMs) {
        newest = update;
        Set<InstanceId> present = new HashSet<>();
        Set<ModelName> loading = new HashSet<>();
        for (InstancePlacement placement : update.placements()) {
            present.add(placement.instance());
            loading.addAll(placement.loads().keySet());
            record(placement, update.running().getOrDefault(placement.instance(), 0), nowMs);
        }
        loadingModels = loading;
        entries.keySet().retainAll(present);
        placementChanges.retainAll(present);
        loadChanges.retainAll(present);
        runningChanges.retainAll(present);
    }

    private void record(InstancePlacement placement, int running, long nowMs) {
        InstanceId id = placement.instance();
        Entry known = entries.get(id);
        InstancePlacement settled = placement.withLoads(Map.of());
        Map<ModelName, Long> loads = placement.loads();
        boolean sameLoads = known != null && sameLoads(known.loads(), loads, nowMs);
        if (known == null || !known.settled().equals(settled) || !loadingModels.containsAll(loads.keySet())) {
            placementChanges.changed(id, ++serial);
        }
        if (!sameLoads) {
            loadChanges.changed(id, ++serial);
        }
        if (known == null || known.running() != running) {
            runningChanges.changed(id, ++serial);
        }
        entries.put(id, new Entry(placement, settled, sameLoads ? known.loads() : loads, running));
    }

    private static boolean sameLoads(Map<ModelName, Long> known, Map<ModelName, Long> loads, long nowMs) {
        if (!known.keySet().equals(loads.keySet())) {
            return false;
        }
        for (Map.Entry<ModelName, Long> load : loads.entrySet()) {
            double allowedMs = Math.max(MIN_LOAD_TIME_CHANGE_MS, LOAD_TIME_CHANGE_SHARE * (load.getValue() - nowMs));
            if (Math.abs(load.getValue() - known.get(load.getKey())) > allowedMs) {
                return false;
            }
        }
        return true;
    }

    /** Returns the newest update, with the marks of a follower that was sent it. */
    Changes newest() {
        return new Changes(newest, new PlacementMarks(serial, serial, serial));
    }

    /** Returns whether one frame can name all instances. */
    boolean fitsInOneFrame() {
        return entries.size() <= MAX_INSTANCES_PER_FRAME;
    }

    /** Returns an update that names no instance, with the given marks. */
    Changes nothing(PlacementMarks marks) {
        return new Changes(newest.withoutInstances(), marks);
    }

    /**
     * Returns what has changed since a follower was sent the given marks, or the earliest part of it if that is much.
     *
     * @param heartbeat whether expected times of loads and numbers of calls are included that changed on their own
     */
    Changes changes(PlacementMarks since, boolean heartbeat) {
        Map<InstanceId, InstancePlacement> placements = new HashMap<>();
        Map<InstanceId, Integer> running = new HashMap<>();
        List<InstanceId> placed = placementChanges.since(since.placements(), MAX_INSTANCES_PER_FRAME);
        for (InstanceId id : placed) {
            placements.put(id, entries.get(id).newest());
            running.put(id, entries.get(id).running());
        }
        long placementsMark = mark(placementChanges, placed);
        if (!heartbeat) {
            PlacementUpdate update = newest.changes(new ArrayList<>(placements.values()), List.of(), running);
            return new Changes(update, new PlacementMarks(placementsMark, since.loads(), since.running()));
        }
        List<InstancePlacement> loads = new ArrayList<>();
        List<InstanceId> reloaded = loadChanges.since(since.loads(), MAX_INSTANCES_PER_FRAME);
        for (InstanceId id : reloaded) {
            if (!placements.containsKey(id)) {
                loads.add(entries.get(id).loading());
            }
        }
        List<InstanceId> counted = runningChanges.since(since.running(), MAX_INSTANCES_PER_FRAME);
        counted.forEach(id -> running.put(id, entries.get(id).running()));
        return new Changes(
                newest.changes(new ArrayList<>(placements.values()), loads, running),
                new PlacementMarks(placementsMark, mark(loadChanges, reloaded), mark(runningChanges, counted)));
    }

    private long mark(ChangeIndex index, List<InstanceId> sent) {
        return sent.size() < MAX_INSTANCES_PER_FRAME ? serial : index.serial(sent.get(sent.size() - 1));
    }
}

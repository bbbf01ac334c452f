package org.hawthornglade.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;

/**
 * The instances to which requests may be sent, kept up to date from the platform's list.
 *
 * <p>An instance that has announced that it is leaving stays excluded, whatever an older record says. Nothing is
 * removed while the list is unreachable. An instance that is missing when the list is reachable again, or was restored
 * from an older copy, has {@link #RELIST_TIMEOUT_MS} to write its record again. A record that such a copy brings back
 * is not used before the instance has written again, or has outlived the time after which the record of a silent one
 * goes.
 */
public final class Fleet {
    /**
     * The platform's maximum time for an instance to be relisted if its record expired during an outage of the list.
     */
    public static final long RELIST_TIMEOUT_MS = 2_000;

    /** Time after which the platform has removed a restored record of an instance that does not write any more. */
    static final long RESTORED_RECORD_MS = 6_000;

    /** Maximum number of unlisted instances that are remembered. */
    private static final int MAX_UNLISTED = 256;

    /** A record that a restore has brought back, and when it may be used. */
    private record RestoredRecord(InstanceRecord record, long usableFromMs) {}

    private final Map<InstanceId, Endpoint> endpoints = new HashMap<>();
    private final Map<InstanceId, RestoredRecord> restored = new HashMap<>();
    private final Map<InstanceId, Long> missingUntilMs = new HashMap<>();
    private final Map<InstanceId, Endpoint> unlisted = new LinkedHashMap<>();
    private boolean listReachable;
    private long reachableSinceMs;
    private boolean listLoaded;
    private boolean nextSnapshotRestored;

    /** Records that the list was restored from an older copy, which the next snapshot shows. */
    public void onListRestored(long nowMs) {
        nextSnapshotRestored = true;
        reachableSinceMs = nowMs;
    }

    /** Applies the whole list, as read at one moment. */
    public void onSnapshot(Collection<InstanceRecord> records, long nowMs) {
        onListReachable(nowMs);
        Set<InstanceId> present = new HashSet<>();
        for (InstanceRecord record : records) {
            present.add(record.id());
            if (nextSnapshotRestored && fromThePast(record)) {
                restored.put(record.id(), new RestoredRecord(record, nowMs + RESTORED_RECORD_MS));
            } else {
                onChanged(record, nowMs);
            }
        }
        nextSnapshotRestored = false;
        for (InstanceId id : List.copyOf(endpoints.keySet())) {
            if (!present.contains(id)) {
                onRemoved(id, nowMs);
            }
        }
        listLoaded = true;
    }

    /** Returns whether a record is of a run that was removed since, and that has not written since its removal. */
    private boolean fromThePast(InstanceRecord record) {
        Endpoint removed = unlisted.get(record.id());
        if (removed == null || endpoints.containsKey(record.id())) {
            return false;
        }
        InstanceRecord last = removed.record();
        boolean sameRun = record.bornMs() == last.bornMs();
        return sameRun ? record.recordSequence() <= last.recordSequence() : record.bornMs() < last.bornMs();
    }

    /** Records that the list is reachable. */
    public void onListReachable(long nowMs) {
        if (!listReachable) {
            listReachable = true;
            reachableSinceMs = nowMs;
        }
    }

    /** Records that the list is unreachable. */
    public void onListLost() {
        listReachable = false;
    }

    /** Applies a new or changed record; older ones are ignored. */
    public void onChanged(InstanceRecord record, long nowMs) {
        missingUntilMs.remove(record.id());
        restored.remove(record.id());
        Endpoint known = endpoints.get(record.id());
        if (known == null) {
            endpoints.put(record.id(), relisted(record));
            return;
        }
        boolean sameStart = record.bornMs() == known.record().bornMs();
        boolean older = sameStart
                ? record.recordSequence() < known.record().recordSequence()
                : record.bornMs() < known.record().bornMs();
        if (older) {
            return;
        }
        if (sameStart && known.record().leaving() && !record.leaving()) {
            return;
        }
        known.onRecord(record);
    }

    /** Returns the endpoint of a newly listed instance; what is known of the same run from before still applies. */
    private Endpoint relisted(InstanceRecord record) {
        Endpoint previous = unlisted.remove(record.id());
        if (previous == null || previous.record().bornMs() != record.bornMs()) {
            return new Endpoint(record);
        }
        if (!previous.record().leaving() || record.leaving()) {
            previous.onRecord(record);
        }
        return previous;
    }

    private void remove(InstanceId id) {
        Endpoint removed = endpoints.remove(id);
        if (removed == null) {
            return;
        }
        removed.prefixCache().clear();
        unlisted.put(id, removed);
        if (unlisted.size() > MAX_UNLISTED) {
            unlisted.remove(unlisted.keySet().iterator().next());
        }
    }

    /** Handles the removal of a record from the list. */
    public void onRemoved(InstanceId id, long nowMs) {
        restored.remove(id);
        Endpoint known = endpoints.get(id);
        if (known == null) {
            return;
        }
        boolean mayReturn = listLoaded && nowMs - reachableSinceMs < RELIST_TIMEOUT_MS;
        if (mayReturn && !known.record().leaving()) {
            missingUntilMs.putIfAbsent(id, reachableSinceMs + RELIST_TIMEOUT_MS);
            return;
        }
        remove(id);
    }

    /**
     * Removes the instances that were not relisted in time, and uses restored records that have outlived their time.
     *
     * <p>Must be called regularly.
     */
    public void expire(long nowMs) {
        if (!listReachable) {
            return;
        }
        useRestored(nowMs);
        for (Map.Entry<InstanceId, Long> missing : List.copyOf(missingUntilMs.entrySet())) {
            if (missing.getValue() <= nowMs) {
                missingUntilMs.remove(missing.getKey());
                remove(missing.getKey());
            }
        }
    }

    private void useRestored(long nowMs) {
        for (RestoredRecord each : List.copyOf(restored.values())) {
            if (each.usableFromMs() <= nowMs) {
                onChanged(each.record(), nowMs);
            }
        }
    }

    /** Applies the placement of an instance reported by the leader. */
    public void onPlacement(InstancePlacement placement) {
        Endpoint endpoint = endpoints.get(placement.instance());
        if (endpoint != null) {
            endpoint.onPlacement(placement);
        }
    }

    /** Discards all placements, so that the list's records apply again, after the leader was lost. */
    public void clearPlacements() {
        endpoints.values().forEach(Endpoint::clearPlacement);
    }

    /** Removes an instance at whose address another instance, or none, responds. */
    public void onMisdirected(InstanceId id) {
        remove(id);
        missingUntilMs.remove(id);
    }

    /** Returns whether the list has been read at least once. */
    public boolean listLoaded() {
        return listLoaded;
    }

    /** Returns whether the list is reachable and has a record of an instance. */
    public boolean listed(InstanceId id) {
        return listReachable && endpoints.containsKey(id) && !missingUntilMs.containsKey(id);
    }

    /** Returns an instance by id. */
    public Optional<Endpoint> endpoint(InstanceId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Returns every instance, leaving ones included. */
    public Collection<Endpoint> all() {
        return endpoints.values();
    }

    /** Returns the instances of a service that accept new calls. */
    public List<Endpoint> usable(ServiceName service) {
        List<Endpoint> usable = new ArrayList<>();
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.record().service().equals(service) && !endpoint.leaving()) {
                usable.add(endpoint);
            }
        }
        return usable;
    }
}

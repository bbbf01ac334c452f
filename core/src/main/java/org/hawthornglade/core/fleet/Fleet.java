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
 * The instances that requests may be sent to, kept by the platform's list.
 *
 * <p>An instance that has announced its leaving stays left, whatever an older record says. While the list cannot be
 * read nothing is removed. An instance that is missing when the list can be read again has {@link #RELIST_TIMEOUT_MS} to
 * write itself anew.
 */
public final class Fleet {
    /** The platform's bound for an instance whose record lapsed during an outage of the list to be back. */
    public static final long RELIST_TIMEOUT_MS = 2_000;

    /** How many instances that are off the list are remembered with what they said of themselves. */
    private static final int MAX_UNLISTED = 256;

    private final Map<InstanceId, Endpoint> endpoints = new HashMap<>();
    private final Map<InstanceId, Long> missingUntilMs = new HashMap<>();
    private final Map<InstanceId, Endpoint> unlisted = new LinkedHashMap<>();
    private boolean listReachable;
    private long reachableSinceMs;
    private boolean listLoaded;

    /** Takes the whole list, as read at one moment. */
    public void onSnapshot(Collection<InstanceRecord> records, long nowMs) {
        onListReachable(nowMs);
        Set<InstanceId> present = new HashSet<>();
        for (InstanceRecord record : records) {
            present.add(record.id());
            onChanged(record, nowMs);
        }
        for (InstanceId id : List.copyOf(endpoints.keySet())) {
            if (!present.contains(id)) {
                onRemoved(id, nowMs);
            }
        }
        listLoaded = true;
    }

    /** Takes note that the list answers. */
    public void onListReachable(long nowMs) {
        if (!listReachable) {
            listReachable = true;
            reachableSinceMs = nowMs;
        }
    }

    /** Takes note that the list does not answer. */
    public void onListLost() {
        listReachable = false;
    }

    /** Takes a new or changed record. */
    public void onChanged(InstanceRecord record, long nowMs) {
        missingUntilMs.remove(record.id());
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
        known.record(record);
    }

    /** Returns an instance that is new on the list; if it was there before, what it said of itself still counts. */
    private Endpoint relisted(InstanceRecord record) {
        Endpoint before = unlisted.remove(record.id());
        if (before == null || before.record().bornMs() != record.bornMs()) {
            return new Endpoint(record);
        }
        before.record(record);
        return before;
    }

    private void remove(InstanceId id) {
        Endpoint removed = endpoints.remove(id);
        if (removed == null || removed.notices().isEmpty()) {
            return;
        }
        unlisted.put(id, removed);
        if (unlisted.size() > MAX_UNLISTED) {
            unlisted.remove(unlisted.keySet().iterator().next());
        }
    }

    /** Takes note that a record is no longer on the list. */
    public void onRemoved(InstanceId id, long nowMs) {
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

    /** Removes what has not come back in time; call it now and then. */
    public void expire(long nowMs) {
        if (!listReachable) {
            return;
        }
        for (Map.Entry<InstanceId, Long> missing : List.copyOf(missingUntilMs.entrySet())) {
            if (missing.getValue() <= nowMs) {
                missingUntilMs.remove(missing.getKey());
                remove(missing.getKey());
            }
        }
    }

    /** Takes what the placement leader tells of an instance. */
    public void onPlacement(InstancePlacement placement) {
        Endpoint endpoint = endpoints.get(placement.instance());
        if (endpoint != null) {
            endpoint.onPlacement(placement);
        }
    }

    /** Goes back to the list's own word, after the leader was lost. */
    public void clearPlacements() {
        endpoints.values().forEach(Endpoint::clearPlacement);
    }

    /** Takes note that another instance, or none, answers at an instance's address. */
    public void onMisdirected(InstanceId id) {
        remove(id);
        missingUntilMs.remove(id);
    }

    /** Returns whether the list has been read at least once. */
    public boolean listLoaded() {
        return listLoaded;
    }

    /** Returns an instance by id. */
    public Optional<Endpoint> endpoint(InstanceId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Returns every instance, leaving ones included. */
    public Collection<Endpoint> all() {
        return endpoints.values();
    }

    /** Returns the instances of a service that take new work. */
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

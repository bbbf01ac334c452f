package org.hawthornglade.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.id.InstanceId;

/**
 * Merges the rate limits that entries report and grants permits to them, as the leader.
 *
 * <p>A new leader starts with empty buckets, because permits granted by its predecessor may still be used.
 */
public final class PermitAllocator {
    /** Interval at which every entry is sent all limits, in milliseconds. */
    private static final long UPDATE_INTERVAL_MS = 1_000;
    /** How long the end of a limit is still sent to entries, in milliseconds. */
    private static final long SEND_LIMIT_END_MS = 10_000;

    private final Fleet fleet;
    private final Map<InstanceId, EndpointPermitAllocator> allocators = new HashMap<>();
    private final Map<InstanceId, Long> limitedAtMs = new HashMap<>();
    private final Map<String, PeerClock> entryClocks = new HashMap<>();
    private final Map<String, Long> requestedAtMs = new HashMap<>();
    private final Map<InstanceId, Double> limits = new HashMap<>();
    private Map<InstanceId, Double> limitsSent = Map.of();
    private long serial;
    private long sentToAllAtMs;

    /**
     * Creates an allocator.
     *
     * @param fleet the endpoints known to this entry
     */
    public PermitAllocator(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Discards all state but the advertised limits, after the lease was lost or won. */
    public void reset() {
        allocators.clear();
        entryClocks.clear();
        requestedAtMs.clear();
        limitsSent = Map.of();
        serial = 0;
    }

    /** Discards the state of an entry whose connection has ended. */
    public void onEntryDisconnected(String entry) {
        entryClocks.remove(entry);
        requestedAtMs.remove(entry);
        allocators.values().forEach(each -> each.removeEntry(entry));
    }

    /**
     * Handles the permit requests of an entry.
     *
     * @param confirmed whether the lease holds, so that no other leader can exist
     * @return the entries to which an update must be sent now
     */
    public Set<String> onRequests(String entry, PermitRequests requests, boolean confirmed, long nowMs) {
        if (requests.sentAtMs() < requestedAtMs.getOrDefault(entry, Long.MIN_VALUE)) {
            // The entry has restarted: the new process has another steady clock.
            onEntryDisconnected(entry);
        }
        PeerClock clock = entryClocks.computeIfAbsent(entry, name -> new PeerClock());
        clock.onMessage(requests.sentAtMs(), nowMs);
        boolean isNew = requestedAtMs.put(entry, requests.sentAtMs()) == null;
        if (requests.requests().isEmpty()) {
            return isNew && !limitedAtMs.isEmpty() ? Set.of(entry) : Set.of();
        }
        for (PermitRequest request : requests.requests()) {
            Optional<Endpoint> endpoint = fleet.endpoint(request.instance())
                    .filter(known -> known.record().bornMs() == request.bornMs());
            endpoint.ifPresent(known -> request.limit()
                    .ifPresent(reported -> known.notices().rateLimit().update(clock.toLocal(reported))));
        }
        refresh(confirmed, nowMs);
        for (PermitRequest request : requests.requests()) {
            EndpointPermitAllocator allocator = allocators.get(request.instance());
            if (allocator != null && allocator.bornMs() == request.bornMs()) {
                allocator.onRequest(entry, request, requests.seenSerial(), nowMs);
            }
        }
        Set<String> toUpdate = limits.equals(limitsSent) ? entriesWithPermits() : allEntries(nowMs);
        if (requests.requestsAny()) {
            toUpdate.add(entry);
        }
        return toUpdate;
    }

    /**
     * Grants the permits that have accrued; must be called frequently.
     *
     * @return the entries to which an update must be sent now
     */
    public Set<String> check(boolean confirmed, long nowMs) {
        refresh(confirmed, nowMs);
        allocators.values().forEach(allocator -> allocator.grantToWaiting(nowMs));
        boolean due = nowMs - sentToAllAtMs >= UPDATE_INTERVAL_MS && !limitedAtMs.isEmpty();
        return due || !limits.equals(limitsSent) ? allEntries(nowMs) : entriesWithPermits();
    }

    private Set<String> allEntries(long nowMs) {
        sentToAllAtMs = nowMs;
        limitsSent = Map.copyOf(limits);
        return new HashSet<>(requestedAtMs.keySet());
    }

    private Set<String> entriesWithPermits() {
        Set<String> entries = new HashSet<>();
        allocators
                .values()
                .forEach(allocator -> entries.addAll(allocator.granted().keySet()));
        return entries;
    }

    /** Keeps an allocator for each endpoint that advertises a limit, and refills it. */
    private void refresh(boolean confirmed, long nowMs) {
        limits.clear();
        for (Endpoint endpoint : fleet.all()) {
            OptionalDouble limit = endpoint.notices().rateLimit().perSecond();
            if (limit.isEmpty()) {
                allocators.remove(endpoint.id());
                continue;
            }
            limits.put(endpoint.id(), limit.getAsDouble());
            limitedAtMs.put(endpoint.id(), nowMs);
            long bornMs = endpoint.record().bornMs();
            EndpointPermitAllocator allocator = allocators.get(endpoint.id());
            if (allocator == null || allocator.bornMs() != bornMs) {
                allocator = new EndpointPermitAllocator(bornMs, nowMs);
                allocators.put(endpoint.id(), allocator);
            }
            allocator.refill(limit.getAsDouble(), confirmed, nowMs);
        }
        limitedAtMs.values().removeIf(atMs -> nowMs - atMs > SEND_LIMIT_END_MS);
    }

    /** Returns the update to send to an entry now. */
    public LimitUpdate update(String entry, long nowMs) {
        serial++;
        List<LimitStatus> statuses = new ArrayList<>();
        for (InstanceId id : limitedAtMs.keySet()) {
            fleet.endpoint(id).ifPresent(endpoint -> statuses.add(status(entry, endpoint, nowMs)));
        }
        return new LimitUpdate(serial, nowMs, requestedAtMs.getOrDefault(entry, 0L), statuses);
    }

    private LimitStatus status(String entry, Endpoint endpoint, long nowMs) {
        EndpointPermitAllocator allocator = allocators.get(endpoint.id());
        return new LimitStatus(
                endpoint.id(),
                endpoint.record().bornMs(),
                endpoint.notices().rateLimit().current(),
                allocator == null ? 0 : allocator.takeGranted(entry, serial, nowMs),
                allocator == null ? 0 : allocator.waitingElsewhere(entry, nowMs));
    }

    /** Returns the number of endpoints known to advertise a limit. */
    public int limitedEndpoints() {
        return allocators.size();
    }
}

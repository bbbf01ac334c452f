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
 * The leader's side of limits: brings together what entries were told, and deals permits.
 *
 * <p>A new leader begins with nothing to deal, so that what the one before has dealt may still be used.
 */
public final class PermitAllocator {
    /** Every entry is told all limits this often, in milliseconds. */
    private static final long UPDATE_INTERVAL_MS = 1_000;
    /** The end of a limit is told for this time, in milliseconds. */
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
     * Creates the leader's side.
     *
     * @param fleet the endpoints as this entry knows them
     */
    public PermitAllocator(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Forgets everything but the endpoints' words, as when the lease was lost or won. */
    public void reset() {
        allocators.clear();
        entryClocks.clear();
        requestedAtMs.clear();
        limitsSent = Map.of();
        serial = 0;
    }

    /** Forgets an entry whose connection has ended. */
    public void onEntryDisconnected(String entry) {
        entryClocks.remove(entry);
        requestedAtMs.remove(entry);
        allocators.values().forEach(each -> each.removeEntry(entry));
    }

    /**
     * Takes what an entry tells.
     *
     * @param confirmed whether no other leader can be there
     * @return the entries that have to be told something now
     */
    public Set<String> onRequests(String entry, PermitRequests asks, boolean confirmed, long nowMs) {
        if (asks.sentAtMs() < requestedAtMs.getOrDefault(entry, Long.MIN_VALUE)) {
            // Another process under the same name, with a clock of its own.
            onEntryDisconnected(entry);
        }
        PeerClock peer = entryClocks.computeIfAbsent(entry, name -> new PeerClock());
        peer.onMessage(asks.sentAtMs(), nowMs);
        boolean isNew = requestedAtMs.put(entry, asks.sentAtMs()) == null;
        if (asks.requests().isEmpty()) {
            return isNew && !limitedAtMs.isEmpty() ? Set.of(entry) : Set.of();
        }
        for (PermitRequest ask : asks.requests()) {
            Optional<Endpoint> endpoint = fleet.endpoint(ask.instance())
                    .filter(known -> known.record().bornMs() == ask.bornMs());
            endpoint.ifPresent(known ->
                    ask.limit().ifPresent(word -> known.notices().rateLimit().update(peer.toLocal(word))));
        }
        refresh(confirmed, nowMs);
        for (PermitRequest ask : asks.requests()) {
            EndpointPermitAllocator share = allocators.get(ask.instance());
            if (share != null && share.bornMs() == ask.bornMs()) {
                share.onRequest(entry, ask, asks.seenSerial(), nowMs);
            }
        }
        Set<String> toTell = limits.equals(limitsSent) ? entriesWithPermits() : allEntries(nowMs);
        if (asks.requestsAny()) {
            toTell.add(entry);
        }
        return toTell;
    }

    /**
     * Deals what has become free; call it often.
     *
     * @return the entries that have to be told something now
     */
    public Set<String> check(boolean confirmed, long nowMs) {
        refresh(confirmed, nowMs);
        allocators.values().forEach(share -> share.grantToWaiting(nowMs));
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
        allocators.values().forEach(share -> entries.addAll(share.granted().keySet()));
        return entries;
    }

    /** Keeps a share for each endpoint that names a limit, and fills it. */
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
            EndpointPermitAllocator share = allocators.get(endpoint.id());
            if (share == null || share.bornMs() != bornMs) {
                share = new EndpointPermitAllocator(bornMs, nowMs);
                allocators.put(endpoint.id(), share);
            }
            share.refill(limit.getAsDouble(), confirmed, nowMs);
        }
        limitedAtMs.values().removeIf(atMs -> nowMs - atMs > SEND_LIMIT_END_MS);
    }

    /** Returns what an entry is told now. */
    public LimitUpdate update(String entry, long nowMs) {
        serial++;
        List<LimitStatus> statuses = new ArrayList<>();
        for (InstanceId id : limitedAtMs.keySet()) {
            fleet.endpoint(id).ifPresent(endpoint -> statuses.add(status(entry, endpoint, nowMs)));
        }
        return new LimitUpdate(serial, nowMs, requestedAtMs.getOrDefault(entry, 0L), statuses);
    }

    private LimitStatus status(String entry, Endpoint endpoint, long nowMs) {
        EndpointPermitAllocator share = allocators.get(endpoint.id());
        return new LimitStatus(
                endpoint.id(),
                endpoint.record().bornMs(),
                endpoint.notices().rateLimit().current(),
                share == null ? 0 : share.takeGranted(entry, serial, nowMs),
                share == null ? 0 : share.waitingElsewhere(entry, nowMs));
    }

    /** Returns how many endpoints name a limit, as far as is known. */
    public int limitedEndpoints() {
        return allocators.size();
    }
}

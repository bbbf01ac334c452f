package org.hawthornglade.core.limit;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Allocates the permits of one rate-limited endpoint to the entries that request them. */
final class EndpointPermitAllocator {
    /** Lowest rate granted, in requests per second: an endpoint with a lower limit is still probed for its end. */
    static final double MIN_PER_S = 0.25;
    /** Largest burst granted at once, as seconds of the limit's rate. */
    private static final double BURST_S = 0.25;
    /** Share of the limit granted while another leader may have taken over, so that both stay within the limit. */
    private static final double UNCONFIRMED_SHARE = 1.0 / 8;
    /** How long a permit request stays valid, in milliseconds. */
    static final long REQUEST_VALID_MS = 300;
    /** A grant that the entry has not acknowledged within this time is considered lost. */
    private static final long GRANT_LOST_MS = 1_000;

    /** The last permit request of an entry. */
    private static final class Request {
        private final int priority;
        private final long atMs;
        private final long waitingSinceMs;
        private int calls;

        Request(int priority, int calls, long atMs, long waitingSinceMs) {
            this.priority = priority;
            this.calls = calls;
            this.atMs = atMs;
            this.waitingSinceMs = waitingSinceMs;
        }

        boolean active(long nowMs) {
            return calls > 0 && nowMs - atMs <= REQUEST_VALID_MS;
        }
    }

    private record Grant(long serial, int permits, long atMs) {}

    private static final Comparator<Request> GRANT_ORDER = Comparator.comparingInt(
                    (Request request) -> request.priority)
            .thenComparingLong(request -> request.waitingSinceMs);

    private final long bornMs;
    private final TokenBucket bucket = new TokenBucket(1, 0);
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, Integer> granted = new HashMap<>();
    private final Map<String, Deque<Grant>> unacknowledged = new HashMap<>();
    private double perSecond;
    private long refilledAtMs;

    EndpointPermitAllocator(long bornMs, long nowMs) {
        this.bornMs = bornMs;
        this.refilledAtMs = nowMs;
    }

    long bornMs() {
        return bornMs;
    }

    /** Adds the permits that have accrued since the last call; {@code confirmed} if no other leader can exist. */
    void refill(double limitPerSecond, boolean confirmed, long nowMs) {
        perSecond = Math.max(MIN_PER_S, limitPerSecond);
        bucket.capacity(Math.max(1, perSecond * BURST_S));
        double share = confirmed ? 1 : UNCONFIRMED_SHARE;
        bucket.add(perSecond * share * (nowMs - refilledAtMs) / 1_000);
        refilledAtMs = nowMs;
    }

    /** Handles a permit request; brief calls get only the permits that waiting calls of all entries leave over. */
    void onRequest(String entry, PermitRequest request, long seenSerial, long nowMs) {
        int calls = Math.max(0, request.calls() - unacknowledged(entry, seenSerial, nowMs));
        Request previous = requests.get(entry);
        boolean waiting = previous != null && previous.active(nowMs);
        requests.put(entry, new Request(request.priority(), calls, nowMs, waiting ? previous.waitingSinceMs : nowMs));
        grantToWaiting(nowMs);
        for (int i = 0; i < request.briefCalls() && bucket.tryTake(); i++) {
            granted.merge(entry, 1, Integer::sum);
        }
    }

    private int unacknowledged(String entry, long seenSerial, long nowMs) {
        Deque<Grant> grants = unacknowledged.getOrDefault(entry, new ArrayDeque<>());
        grants.removeIf(grant -> grant.serial() <= seenSerial || nowMs - grant.atMs() > GRANT_LOST_MS);
        return grants.stream().mapToInt(Grant::permits).sum();
    }

    /** Grants available permits to the most urgent calls first, then to the entry that has waited longest. */
    void grantToWaiting(long nowMs) {
        while (bucket.hasToken()) {
            Optional<Map.Entry<String, Request>> next = requests.entrySet().stream()
                    .filter(each -> each.getValue().active(nowMs))
                    .min(Map.Entry.comparingByValue(GRANT_ORDER));
            if (next.isEmpty() || !bucket.tryTake()) {
                return;
            }
            next.get().getValue().calls--;
            granted.merge(next.get().getKey(), 1, Integer::sum);
        }
    }

    Map<String, Integer> granted() {
        return granted;
    }

    /** Removes and returns the permits granted to an entry but not yet sent; they go out with this update. */
    int takeGranted(String entry, long serial, long nowMs) {
        Integer permits = granted.remove(entry);
        if (permits == null) {
            return 0;
        }
        unacknowledged.computeIfAbsent(entry, key -> new ArrayDeque<>()).add(new Grant(serial, permits, nowMs));
        return permits;
    }

    int waitingElsewhere(String entry, long nowMs) {
        int calls = 0;
        for (Map.Entry<String, Request> each : requests.entrySet()) {
            if (!each.getKey().equals(entry) && each.getValue().active(nowMs)) {
                calls += each.getValue().calls;
            }
        }
        return calls;
    }

    void removeEntry(String entry) {
        requests.remove(entry);
        granted.remove(entry);
        unacknowledged.remove(entry);
    }
}

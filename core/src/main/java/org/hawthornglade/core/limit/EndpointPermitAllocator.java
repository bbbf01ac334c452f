package org.hawthornglade.core.limit;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Deals the requests that one limited endpoint takes to the entries that ask for them. */
final class EndpointPermitAllocator {
    /** An endpoint with a lower limit is still tried this often, in requests a second, so that its end is noticed. */
    static final double MIN_PER_S = 0.25;
    /** What may be dealt at once, as the requests of this time. */
    private static final double BURST_S = 0.25;
    /** What a leader deals of a limit while another may have taken over; both together stay within it. */
    private static final double UNCONFIRMED_SHARE = 1.0 / 8;
    /** An ask counts for this time. */
    static final long REQUEST_VALID_MS = 300;
    /** A deal that the entry has not read after this time was lost. */
    private static final long GRANT_LOST_MS = 1_000;

    /** What an entry asked for last. */
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

        boolean open(long nowMs) {
            return calls > 0 && nowMs - atMs <= REQUEST_VALID_MS;
        }
    }

    private record Grant(long serial, int permits, long atMs) {}

    private static final Comparator<Request> GRANT_ORDER =
            Comparator.comparingInt((Request ask) -> ask.priority).thenComparingLong(ask -> ask.waitingSinceMs);

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

    /** Adds what has become free since the last time. */
    void refill(double limitPerSecond, boolean confirmed, long nowMs) {
        perSecond = Math.max(MIN_PER_S, limitPerSecond);
        bucket.capacity(Math.max(1, perSecond * BURST_S));
        double share = confirmed ? 1 : UNCONFIRMED_SHARE;
        bucket.add(perSecond * share * (nowMs - refilledAtMs) / 1_000);
        refilledAtMs = nowMs;
    }

    /** Takes an ask; calls that do not wait get what those that do leave over. */
    void onRequest(String entry, PermitRequest ask, long seenSerial, long nowMs) {
        int calls = Math.max(0, ask.calls() - unacknowledged(entry, seenSerial, nowMs));
        Request before = requests.get(entry);
        boolean waitedBefore = before != null && before.open(nowMs);
        requests.put(entry, new Request(ask.priority(), calls, nowMs, waitedBefore ? before.waitingSinceMs : nowMs));
        grantToWaiting(nowMs);
        for (int i = 0; i < ask.briefCalls() && bucket.tryTake(); i++) {
            granted.merge(entry, 1, Integer::sum);
        }
    }

    private int unacknowledged(String entry, long seenSerial, long nowMs) {
        Deque<Grant> deals = unacknowledged.getOrDefault(entry, new ArrayDeque<>());
        deals.removeIf(deal -> deal.serial() <= seenSerial || nowMs - deal.atMs() > GRANT_LOST_MS);
        return deals.stream().mapToInt(Grant::permits).sum();
    }

    /** Deals what is there, to the most urgent calls first and among them to the entry that has waited longest. */
    void grantToWaiting(long nowMs) {
        while (bucket.hasToken()) {
            Optional<Map.Entry<String, Request>> next = requests.entrySet().stream()
                    .filter(each -> each.getValue().open(nowMs))
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

    /** Returns what was dealt to an entry and has not been told to it, which is told with this news. */
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
            if (!each.getKey().equals(entry) && each.getValue().open(nowMs)) {
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

package org.hawthornglade.core.limit;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Deals the requests that one limited endpoint takes to the entries that ask for them. */
final class EndpointShares {
    /** An endpoint with a lower limit is still tried this often, in requests a second, so that its end is noticed. */
    static final double LEAST_PER_S = 0.25;
    /** What may be dealt at once, as the requests of this time. */
    private static final double BURST_S = 0.25;
    /** What a leader deals of a limit while another may have taken over; both together stay within it. */
    private static final double UNCONFIRMED_SHARE = 1.0 / 8;
    /** An ask counts for this time. */
    static final long ASK_VALID_MS = 300;
    /** A deal that the entry has not read after this time was lost. */
    private static final long DEAL_LOST_MS = 1_000;

    /** What an entry asked for last. */
    private static final class Ask {
        private final int priority;
        private final long atMs;
        private final long waitingSinceMs;
        private int calls;

        Ask(int priority, int calls, long atMs, long waitingSinceMs) {
            this.priority = priority;
            this.calls = calls;
            this.atMs = atMs;
            this.waitingSinceMs = waitingSinceMs;
        }

        boolean open(long nowMs) {
            return calls > 0 && nowMs - atMs <= ASK_VALID_MS;
        }
    }

    private record Deal(long serial, int permits, long atMs) {}

    private static final Comparator<Ask> FIRST =
            Comparator.comparingInt((Ask ask) -> ask.priority).thenComparingLong(ask -> ask.waitingSinceMs);

    private final long bornMs;
    private final TokenBucket bucket = new TokenBucket(1, 0);
    private final Map<String, Ask> asks = new HashMap<>();
    private final Map<String, Integer> dealt = new HashMap<>();
    private final Map<String, Deque<Deal>> unread = new HashMap<>();
    private double perSecond;
    private long filledAtMs;

    EndpointShares(long bornMs, long nowMs) {
        this.bornMs = bornMs;
        this.filledAtMs = nowMs;
    }

    long bornMs() {
        return bornMs;
    }

    /** Adds what has become free since the last time. */
    void fill(double limitPerSecond, boolean confirmed, long nowMs) {
        perSecond = Math.max(LEAST_PER_S, limitPerSecond);
        bucket.capacity(Math.max(1, perSecond * BURST_S));
        double share = confirmed ? 1 : UNCONFIRMED_SHARE;
        bucket.add(perSecond * share * (nowMs - filledAtMs) / 1_000);
        filledAtMs = nowMs;
    }

    /** Takes an ask; calls that do not wait get what those that do leave over. */
    void onAsk(String entry, PermitAsk ask, long seenSerial, long nowMs) {
        int calls = Math.max(0, ask.calls() - unread(entry, seenSerial, nowMs));
        Ask before = asks.get(entry);
        boolean waitedBefore = before != null && before.open(nowMs);
        asks.put(entry, new Ask(ask.priority(), calls, nowMs, waitedBefore ? before.waitingSinceMs : nowMs));
        dealToWaiting(nowMs);
        for (int i = 0; i < ask.briefCalls() && bucket.tryTake(); i++) {
            dealt.merge(entry, 1, Integer::sum);
        }
    }

    private int unread(String entry, long seenSerial, long nowMs) {
        Deque<Deal> deals = unread.getOrDefault(entry, new ArrayDeque<>());
        deals.removeIf(deal -> deal.serial() <= seenSerial || nowMs - deal.atMs() > DEAL_LOST_MS);
        return deals.stream().mapToInt(Deal::permits).sum();
    }

    /** Deals what is there, to the most urgent calls first and among them to the entry that has waited longest. */
    void dealToWaiting(long nowMs) {
        while (bucket.hasOne()) {
            Optional<Map.Entry<String, Ask>> next = asks.entrySet().stream()
                    .filter(each -> each.getValue().open(nowMs))
                    .min(Map.Entry.comparingByValue(FIRST));
            if (next.isEmpty() || !bucket.tryTake()) {
                return;
            }
            next.get().getValue().calls--;
            dealt.merge(next.get().getKey(), 1, Integer::sum);
        }
    }

    Map<String, Integer> dealt() {
        return dealt;
    }

    /** Returns what was dealt to an entry and has not been told to it, which is told with this news. */
    int tell(String entry, long serial, long nowMs) {
        Integer permits = dealt.remove(entry);
        if (permits == null) {
            return 0;
        }
        unread.computeIfAbsent(entry, key -> new ArrayDeque<>()).add(new Deal(serial, permits, nowMs));
        return permits;
    }

    int waitingBesides(String entry, long nowMs) {
        int calls = 0;
        for (Map.Entry<String, Ask> each : asks.entrySet()) {
            if (!each.getKey().equals(entry) && each.getValue().open(nowMs)) {
                calls += each.getValue().calls;
            }
        }
        return calls;
    }

    void forget(String entry) {
        asks.remove(entry);
        dealt.remove(entry);
        unread.remove(entry);
    }
}

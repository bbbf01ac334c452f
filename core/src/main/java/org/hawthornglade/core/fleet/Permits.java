package org.hawthornglade.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * This entry's permits to send requests to one endpoint that takes a limited number, and the calls that wait for one.
 *
 * <p>A permit ends a fixed time after the entry asked for it, on the entry's own steady clock: what arrives late, or
 * lies unused while the process is stopped, has ended.
 */
public final class Permits {
    /** How long after the ask a permit may be used, in milliseconds. */
    public static final long VALID_MS = 600;
    /** After this time without news no leader deals permits. */
    private static final long UPDATE_VALID_MS = 2_500;
    /** A call that can go elsewhere waits for an answer for this time, in milliseconds. */
    public static final long BRIEF_WAIT_MS = 60;
    /** The shortest and the longest time until calls that can go elsewhere ask again after a refusal. */
    private static final long MIN_RETRY_MS = 50;

    private static final long MAX_RETRY_MS = 1_000;
    private static final int LEAST_URGENT = 9;
    /** The leader hears at once of a call that waits for its turn, but not more often than this. */
    private static final long MIN_REQUEST_INTERVAL_MS = 100;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final Deque<Long> expiriesMs = new ArrayDeque<>();
    private final TreeMap<Integer, Integer> waitingByPriority = new TreeMap<>();
    private long updatedAtMs = NEVER_MS;
    private long retryAtMs = NEVER_MS;
    private long briefFromMs = NEVER_MS;
    private long briefUntilMs = NEVER_MS;
    private long requestedAtMs = NEVER_MS;
    private int briefCalls;
    private int othersWaiting;

    /** Returns whether a request may be sent now. */
    public boolean available(long nowMs) {
        removeExpired(nowMs);
        return !expiriesMs.isEmpty();
    }

    /** Takes the permit that ends first; returns when it ends, or nothing if there is none. */
    public OptionalLong take(long nowMs) {
        return available(nowMs) ? OptionalLong.of(expiriesMs.removeFirst()) : OptionalLong.empty();
    }

    private void removeExpired(long nowMs) {
        while (!expiriesMs.isEmpty() && expiriesMs.peekFirst() <= nowMs) {
            expiriesMs.removeFirst();
        }
    }

    /** Takes note that the endpoint has named another limit, which the leader will hear. */
    public void onLimitAdvertised(long nowMs) {
        updatedAtMs = nowMs;
    }

    /**
     * Takes what the leader tells.
     *
     * @param dealt permits besides those told before
     * @param answeredAskMs when the ask was sent that this answers
     * @param others the calls that wait at other entries
     */
    public void onUpdate(int dealt, long answeredAskMs, int others, long nowMs) {
        updatedAtMs = nowMs;
        othersWaiting = others;
        for (int i = 0; i < dealt; i++) {
            expiriesMs.addLast(answeredAskMs + VALID_MS);
        }
        if (dealt == 0 && nowMs < briefUntilMs && answeredAskMs >= briefFromMs) {
            briefUntilMs = nowMs;
            retryAtMs = nowMs + Math.min(MAX_RETRY_MS, MIN_RETRY_MS * (1L + others));
        }
    }

    /** Returns whether a leader deals permits for this endpoint, as far as is known. */
    public boolean leaderGrants(long nowMs) {
        return nowMs - updatedAtMs <= UPDATE_VALID_MS;
    }

    /** Returns whether a call that cannot wait for its turn may ask for a permit now. */
    public boolean mayRequestBriefly(long nowMs) {
        return leaderGrants(nowMs) && (nowMs < briefUntilMs || nowMs >= retryAtMs);
    }

    /** Returns when a further call would get its permit, behind those that wait here and elsewhere. */
    public long expectedAtMs(double perSecond, long nowMs) {
        double ahead = 1.0 + othersWaiting + waiting();
        return nowMs + Math.round(ahead * 1_000 / perSecond);
    }

    /** Takes note that a call waits for its turn; returns whether the leader should hear it at once. */
    public boolean join(int priority, long nowMs) {
        waitingByPriority.merge(priority, 1, Integer::sum);
        if (waiting() > 1 || nowMs - requestedAtMs < MIN_REQUEST_INTERVAL_MS) {
            return false;
        }
        requestedAtMs = nowMs;
        return true;
    }

    /** Takes note that a call no longer waits for its turn. */
    public void leave(int priority) {
        waitingByPriority.computeIfPresent(priority, (key, calls) -> calls == 1 ? null : calls - 1);
    }

    /** Takes note that a call asks for a permit that it gets now or not; returns whether the leader should hear it. */
    public boolean joinBriefly(long nowMs) {
        briefCalls++;
        if (nowMs < briefUntilMs) {
            return false;
        }
        briefFromMs = nowMs;
        briefUntilMs = nowMs + BRIEF_WAIT_MS;
        retryAtMs = briefUntilMs + MIN_RETRY_MS;
        return true;
    }

    /** Takes note that such a call no longer waits. */
    public void leaveBriefly() {
        briefCalls--;
    }

    public int waiting() {
        return waitingByPriority.values().stream().mapToInt(Integer::intValue).sum();
    }

    public int waitingBriefly() {
        return briefCalls;
    }

    /** Returns the rank of the most urgent call that waits for its turn. */
    public int mostUrgent() {
        return waitingByPriority.isEmpty() ? LEAST_URGENT : waitingByPriority.firstKey();
    }
}

package org.hawthornglade.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Holds this entry's permits for one rate-limited endpoint and counts the calls that wait for one.
 *
 * <p>A permit expires a fixed time after the entry requested it, on the entry's own steady clock, so that a permit that
 * arrives late or stays unused while the process is suspended has expired.
 */
public final class Permits {
    /** Lifetime of a permit from its request, in milliseconds. */
    public static final long VALID_MS = 600;
    /** Time after the last update from which the leader counts as absent, in milliseconds. */
    private static final long UPDATE_VALID_MS = 2_500;
    /** How long a call that can go to another endpoint waits for a permit, in milliseconds. */
    public static final long BRIEF_WAIT_MS = 60;
    /** Shortest and longest time until such calls request a permit again after a refusal, in milliseconds. */
    private static final long MIN_RETRY_MS = 50;

    private static final long MAX_RETRY_MS = 1_000;
    private static final int LEAST_URGENT = 9;
    /** Minimum interval of immediate notifications of the leader about waiting calls, in milliseconds. */
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

    /** Takes the permit that expires first and returns its expiry; empty if there is none. */
    public OptionalLong take(long nowMs) {
        return available(nowMs) ? OptionalLong.of(expiriesMs.removeFirst()) : OptionalLong.empty();
    }

    private void removeExpired(long nowMs) {
        while (!expiriesMs.isEmpty() && expiriesMs.peekFirst() <= nowMs) {
            expiriesMs.removeFirst();
        }
    }

    /** Records that the endpoint has advertised another limit, which will be reported to the leader. */
    public void onLimitAdvertised(long nowMs) {
        updatedAtMs = nowMs;
    }

    /**
     * Applies an update of the leader.
     *
     * @param granted permits in addition to earlier ones
     * @param answeredRequestMs when the request that this answers was sent
     * @param others the number of calls that wait at other entries
     */
    public void onUpdate(int granted, long answeredRequestMs, int others, long nowMs) {
        updatedAtMs = nowMs;
        othersWaiting = others;
        for (int i = 0; i < granted; i++) {
            expiriesMs.addLast(answeredRequestMs + VALID_MS);
        }
        if (granted == 0 && nowMs < briefUntilMs && answeredRequestMs >= briefFromMs) {
            briefUntilMs = nowMs;
            retryAtMs = nowMs + Math.min(MAX_RETRY_MS, MIN_RETRY_MS * (1L + others));
        }
    }

    /** Returns whether a leader is known to grant permits for this endpoint. */
    public boolean leaderGrants(long nowMs) {
        return nowMs - updatedAtMs <= UPDATE_VALID_MS;
    }

    /** Returns whether a call that does not wait in the queue may request a permit now. */
    public boolean mayRequestBriefly(long nowMs) {
        return leaderGrants(nowMs) && (nowMs < briefUntilMs || nowMs >= retryAtMs);
    }

    /** Returns when another call would get its permit, behind those that wait at this and other entries. */
    public long expectedAtMs(double perSecond, long nowMs) {
        double ahead = 1.0 + othersWaiting + waiting();
        return nowMs + Math.round(ahead * 1_000 / perSecond);
    }

    /** Adds a waiting call; returns whether the leader should be notified immediately. */
    public boolean join(int priority, long nowMs) {
        waitingByPriority.merge(priority, 1, Integer::sum);
        if (waiting() > 1 || nowMs - requestedAtMs < MIN_REQUEST_INTERVAL_MS) {
            return false;
        }
        requestedAtMs = nowMs;
        return true;
    }

    /** Removes a waiting call. */
    public void leave(int priority) {
        waitingByPriority.computeIfPresent(priority, (key, calls) -> calls == 1 ? null : calls - 1);
    }

    /**
     * Adds a call that waits only {@link #BRIEF_WAIT_MS}; returns whether the leader should be notified immediately.
     */
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

    /** Removes a call that waits briefly. */
    public void leaveBriefly() {
        briefCalls--;
    }

    public int waiting() {
        return waitingByPriority.values().stream().mapToInt(Integer::intValue).sum();
    }

    public int waitingBriefly() {
        return briefCalls;
    }

    /** Returns the priority of the most urgent waiting call; 0 is the highest. */
    public int mostUrgent() {
        return waitingByPriority.isEmpty() ? LEAST_URGENT : waitingByPriority.firstKey();
    }
}

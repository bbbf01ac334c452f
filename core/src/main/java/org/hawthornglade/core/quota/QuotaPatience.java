package org.hawthornglade.core.quota;

/**
 * How long a request may be held until its team has room in its quota.
 *
 * <p>A caller that is patient is served better by a short wait than by a refusal, after which it comes back into the
 * same shortage. While a leader is replaced, no entry can pay for a request that is larger than the entry's own share.
 *
 * @param shortMs the limit while the leader answers, in milliseconds
 * @param leaderlessMs the limit while the leader does not answer, in milliseconds
 */
public record QuotaPatience(long shortMs, long leaderlessMs) {
    /** Nothing is held longer than an answer of the leader takes. */
    public static final QuotaPatience NONE = new QuotaPatience(0, 0);

    /** Part of the latency target; the rest is left to the response. */
    private static final double TARGET_SHARE = 0.25;
    /** Part of the time until the caller gives up. */
    private static final double REMAINING_SHARE = 0.5;
    /** Covers the validity of a lease and the start of the next leader. */
    private static final long LEADER_CHANGE_MS = 4_500;

    /**
     * Returns the patience of a caller.
     *
     * @param targetMs the latency target, in milliseconds
     * @param remainingMs how long the caller waits for the response at most, in milliseconds
     */
    public static QuotaPatience of(long targetMs, long remainingMs) {
        long shortMs = (long) (Math.min(targetMs, remainingMs) * TARGET_SHARE);
        long leaderlessMs = Math.min(LEADER_CHANGE_MS, (long) (remainingMs * REMAINING_SHARE));
        return new QuotaPatience(shortMs, leaderlessMs);
    }
}

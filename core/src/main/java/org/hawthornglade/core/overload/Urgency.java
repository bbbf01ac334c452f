package org.hawthornglade.core.overload;

/**
 * By when a waiting call must start, as known when it began to wait or was last decided.
 *
 * @param priority the priority of the call, 0 is the highest
 * @param targetStartMs the latest start with which its latency target is met
 * @param deadlineStartMs the latest start with which its response begins before its caller gives up
 * @param yieldsUntilMs until when it goes after all calls that do not yield, since its caller came back too early; 0 if
 *     it does not
 * @param number the number of the call at this entry, in the order of arrival
 */
public record Urgency(int priority, long targetStartMs, long deadlineStartMs, long yieldsUntilMs, long number) {
    /**
     * Time to the first part that is allowed for, relative to its mean. Calls that were sent at their latest start by
     * the mean came too late half of the time.
     */
    private static final double FIRST_PART_MARGIN = 1.5;
    /**
     * Part of the time between target and deadline by which the start for the deadline is brought forward. Calls that
     * arrive together reach their latest starts together, and some of them then came too late.
     */
    private static final double DEADLINE_RESERVE = 0.02;

    /**
     * Returns the urgency of a call.
     *
     * @param targetAtMs when its latency target ends
     * @param abandonAtMs when its caller gives up
     * @param firstMs the mean time from its sending to the first part of its response, 0 if unknown
     */
    public static Urgency of(
            int priority, long targetAtMs, long abandonAtMs, double firstMs, long yieldsUntilMs, long number) {
        long allowedMs = Math.round(FIRST_PART_MARGIN * firstMs);
        long firstAtMs = Math.min(targetAtMs, abandonAtMs);
        long reserveMs = Math.round(DEADLINE_RESERVE * (abandonAtMs - firstAtMs));
        return new Urgency(priority, firstAtMs - allowedMs, abandonAtMs - allowedMs - reserveMs, yieldsUntilMs, number);
    }

    /** Returns the latest start that counts now: for the deadline as soon as the target is out of reach. */
    long latestStartMs(long nowMs) {
        return meetsTarget(nowMs) ? targetStartMs : deadlineStartMs;
    }

    boolean meetsTarget(long nowMs) {
        return targetStartMs >= nowMs;
    }

    boolean yields(long nowMs) {
        return yieldsUntilMs > nowMs;
    }
}

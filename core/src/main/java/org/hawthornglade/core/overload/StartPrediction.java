package org.hawthornglade.core.overload;

import org.hawthornglade.core.dispatch.SlotSupply;

/**
 * When a waiting call is expected to start at an endpoint, and what this was derived from.
 *
 * @param ahead the calls for the same service and model that wait at this entry before it
 * @param supply what is known of the endpoints that could run it
 * @param time how long calls take there
 * @param startInMs the expected start, in milliseconds from now
 */
public record StartPrediction(int ahead, SlotSupply supply, ServiceTime time, long startInMs) {
    /**
     * A call that waits already is given up only if it would be late even if slots became free this many times as fast
     * as expected; else small changes of the estimate would refuse calls that have waited for most of their time.
     */
    private static final double WAITING_TOLERANCE = 1.25;

    /**
     * Predicts the start of a call for which no endpoint has room now.
     *
     * <p>Slots become free for this entry at the rate at which its own calls there end, or at an equal share of the
     * rate for all entries if that is higher: an entry that has no call there yet still gets its share.
     *
     * @param entries the number of entries
     */
    public static StartPrediction of(int ahead, SlotSupply supply, int entries, ServiceTime time, long nowMs) {
        double slotsPerMs = startsPerMs(supply.ownInFlight(), supply.inFlight(), entries, time);
        double queueMs = (ahead + 1) / slotsPerMs;
        long loadedInMs = Math.max(0, supply.loadedAtMs().orElse(Long.MAX_VALUE) - nowMs);
        return new StartPrediction(ahead, supply, time, Math.min(Math.round(queueMs), loadedInMs));
    }

    /**
     * Returns the rate at which slots become free for this entry.
     *
     * @param ownInFlight the calls of this entry in flight
     * @param inFlight the calls of all entries in flight
     * @param entries the number of entries
     */
    public static double startsPerMs(int ownInFlight, int inFlight, int entries, ServiceTime time) {
        double shareOfSlots = Math.max(ownInFlight, (double) inFlight / Math.max(1, entries));
        return Math.max(1, shareOfSlots) / Math.max(1, time.totalMs());
    }

    /**
     * Returns whether the response would come too late, while no endpoint has room.
     *
     * @param leftMs how long the caller waits for the first part of the response, in milliseconds from now
     * @param waits whether the call waits already, after an earlier prediction
     */
    public boolean tooLate(long leftMs, boolean waits) {
        double firstInMs = startInMs + time.firstMs();
        return !supply.hasRoom() && firstInMs / (waits ? WAITING_TOLERANCE : 1) > leftMs;
    }
}

package org.hawthornglade.standin.fault;

/**
 * The faults that a stand-in shows; every field at 0 or false is off.
 *
 * @param slowMs added to every call, in milliseconds
 * @param slowJitterMs at most this much more, drawn by the seed, in milliseconds
 * @param seed of what is drawn
 * @param down refuses every call with status 503
 * @param failEvery refuses every k-th call with {@code failStatus}, without effect
 * @param failStatus the status of a failing call; 0 takes 503
 * @param loseReplyEvery carries out every k-th change, then cuts the connection
 * @param rateLimitMs refuses every call with status 429 and this time to come back, in milliseconds
 * @param freeze takes every call and never answers
 * @param speedPercent the speed of a weight store, in percent; 0 takes 100
 * @param crashLoadEvery lets every k-th load of an engine break off half way
 * @param stallStreams keeps running answers of an engine from growing
 * @param cutStreamEvery lets an engine cut every k-th streaming connection half way; the answer itself goes on
 */
public record FaultScript(
        long slowMs,
        long slowJitterMs,
        long seed,
        boolean down,
        int failEvery,
        int failStatus,
        int loseReplyEvery,
        long rateLimitMs,
        boolean freeze,
        int speedPercent,
        int crashLoadEvery,
        boolean stallStreams,
        int cutStreamEvery) {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int FULL_SPEED_PERCENT = 100;

    /** Without any fault. */
    public static final FaultScript NONE = new FaultScript(0, 0, 0, false, 0, 0, 0, 0, false, 0, 0, false, 0);

    /** Checks the ranges and fills in what is 0. */
    public FaultScript {
        if (slowMs < 0 || slowJitterMs < 0 || rateLimitMs < 0) {
            throw new IllegalArgumentException("a time is negative");
        }
        if (failEvery < 0 || loseReplyEvery < 0 || crashLoadEvery < 0 || cutStreamEvery < 0 || speedPercent < 0) {
            throw new IllegalArgumentException("a count is negative");
        }
        failStatus = failStatus == 0 ? SERVICE_UNAVAILABLE : failStatus;
        speedPercent = speedPercent == 0 ? FULL_SPEED_PERCENT : speedPercent;
    }
}

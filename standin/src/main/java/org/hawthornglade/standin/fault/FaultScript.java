package org.hawthornglade.standin.fault;

/**
 * The faults that a stand-in injects; a field of 0 or false disables its fault.
 *
 * @param slowMs delay added to every call, in milliseconds
 * @param slowJitterMs maximum additional random delay, in milliseconds
 * @param seed seed of the random delays
 * @param down refuses every call with status 503
 * @param failEvery refuses every k-th call with {@code failStatus}, without effect
 * @param failStatus the status of a failing call; 0 selects 503
 * @param loseReplyEvery executes every k-th change, then closes the connection without a response
 * @param rateLimitMs refuses every call with status 429 and this retry-after time, in milliseconds
 * @param freeze accepts every call and never answers
 * @param speedPercent the speed of a weight store, in percent; 0 selects 100
 * @param crashLoadEvery fails every k-th load of an engine half-way
 * @param stallStreams pauses the generation of running answers of an engine
 * @param cutStreamEvery closes every k-th streaming connection of an engine part-way; the answer itself continues
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

    /** A script without faults. */
    public static final FaultScript NONE = new FaultScript(0, 0, 0, false, 0, 0, 0, 0, false, 0, 0, false, 0);

    /** Checks the ranges and replaces 0 by the default values. */
    public FaultScript {
        if (slowMs < 0 || slowJitterMs < 0 || rateLimitMs < 0) {
            throw new IllegalArgumentException("slowMs, slowJitterMs or rateLimitMs is negative");
        }
        if (failEvery < 0 || loseReplyEvery < 0 || crashLoadEvery < 0 || cutStreamEvery < 0 || speedPercent < 0) {
            throw new IllegalArgumentException(
                    "failEvery, loseReplyEvery, crashLoadEvery, cutStreamEvery or speedPercent is negative");
        }
        failStatus = failStatus == 0 ? SERVICE_UNAVAILABLE : failStatus;
        speedPercent = speedPercent == 0 ? FULL_SPEED_PERCENT : speedPercent;
    }
}

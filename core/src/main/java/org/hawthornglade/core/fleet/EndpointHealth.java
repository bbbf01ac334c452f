package org.hawthornglade.core.fleet;

/**
 * Tracks the health of an endpoint by its responses to real requests.
 *
 * <p>A failing endpoint is avoided for a backoff time, which doubles with each consecutive failure and ends with the
 * first successful response.
 */
public final class EndpointHealth {
    /** The first backoff after a failed connection or a lost response. */
    static final long INITIAL_BACKOFF_MS = 500;
    /** The longest backoff. */
    static final long MAX_BACKOFF_MS = 8_000;
    /** Weight of the newest outcome in the failure rate. */
    private static final double NEWEST_WEIGHT = 0.25;
    /** Failure rate above which an endpoint that still responds is avoided. */
    private static final double SUSPECT_RATE = 0.4;
    /** Half-life of the failure rate without new outcomes. */
    private static final double HALF_LIFE_MS = 4_000;

    private double failureRate;
    private long rateAtMs;
    private long backoffMs;
    private long backoffUntilMs;
    private long unreachableUntilMs;

    /** Records a successful response. */
    public void onSuccess(long nowMs) {
        recordOutcome(0, nowMs);
        backoffMs = 0;
        unreachableUntilMs = 0;
        backoffUntilMs = failureRate > SUSPECT_RATE ? backoffUntilMs : 0;
    }

    /** Records a response that indicates a fault of the endpoint, which is still reachable. */
    public void onFailure(long nowMs) {
        recordOutcome(1, nowMs);
        if (failureRate > SUSPECT_RATE) {
            backOff(nowMs);
        }
    }

    /** Records a lost response: the connection was closed, or nothing was received in time. */
    public void onResponseLost(long nowMs) {
        recordOutcome(1, nowMs);
        backOff(nowMs);
    }

    /** Records that no connection could be established. */
    public void onUnreachable(long nowMs) {
        onResponseLost(nowMs);
        unreachableUntilMs = backoffUntilMs;
    }

    /** Returns whether the endpoint was recently unreachable, so that nothing should be sent to it for now. */
    public boolean unreachable(long nowMs) {
        return nowMs < unreachableUntilMs;
    }

    /** Returns whether requests should go to other endpoints if there are any. */
    public boolean inBackoff(long nowMs) {
        return nowMs < backoffUntilMs;
    }

    /** Returns the decayed share of failed responses, from 0 to 1. */
    public double failureRate(long nowMs) {
        double halvings = (nowMs - rateAtMs) / HALF_LIFE_MS;
        return failureRate * Math.pow(0.5, halvings);
    }

    private void recordOutcome(double outcome, long nowMs) {
        double current = failureRate(nowMs);
        failureRate = current + NEWEST_WEIGHT * (outcome - current);
        rateAtMs = nowMs;
    }

    private void backOff(long nowMs) {
        if (inBackoff(nowMs)) {
            return;
        }
        backoffMs = backoffMs == 0 ? INITIAL_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        backoffUntilMs = nowMs + backoffMs;
    }
}

package org.hawthornglade.core.fleet;

/**
 * How far an endpoint is trusted, judged by the answers that it gives to real requests.
 *
 * <p>An endpoint that fails is left out for a while; the pause doubles with each failure in a row and ends with the
 * first good answer.
 */
public final class EndpointHealth {
    /** The first pause after a failed connection or a lost answer. */
    static final long INITIAL_BACKOFF_MS = 500;
    /** The longest pause. */
    static final long MAX_BACKOFF_MS = 8_000;
    /** Weight of the newest outcome in the failure rate. */
    private static final double NEWEST_WEIGHT = 0.25;
    /** Failure rate above which an endpoint that still answers is left out. */
    private static final double SUSPECT_RATE = 0.4;
    /** The failure rate halves in this time without a new outcome. */
    private static final double HALF_LIFE_MS = 4_000;

    private double failureRate;
    private long rateAtMs;
    private long backoffMs;
    private long backoffUntilMs;
    private long unreachableUntilMs;

    /** Takes note of a good answer. */
    public void onSuccess(long nowMs) {
        recordOutcome(0, nowMs);
        backoffMs = 0;
        unreachableUntilMs = 0;
        backoffUntilMs = failureRate > SUSPECT_RATE ? backoffUntilMs : 0;
    }

    /** Takes note of an answer that tells of a fault of the endpoint, while it can be reached. */
    public void onFailure(long nowMs) {
        recordOutcome(1, nowMs);
        if (failureRate > SUSPECT_RATE) {
            backOff(nowMs);
        }
    }

    /** Takes note that an answer was lost: the connection ended, or nothing came in time. */
    public void onResponseLost(long nowMs) {
        recordOutcome(1, nowMs);
        backOff(nowMs);
    }

    /** Takes note that no connection could be made. */
    public void onUnreachable(long nowMs) {
        onResponseLost(nowMs);
        unreachableUntilMs = backoffUntilMs;
    }

    /** Returns whether the endpoint could lately not be reached; nothing should be sent there for now. */
    public boolean unreachable(long nowMs) {
        return nowMs < unreachableUntilMs;
    }

    /** Returns whether requests should go elsewhere if they can. */
    public boolean inBackoff(long nowMs) {
        return nowMs < backoffUntilMs;
    }

    /** Returns the recent share of failed answers, from 0 to 1. */
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

package org.hawthornglade.core.pace;

/**
 * Limits the calls in flight at one server over all entries, by how long its responses take.
 *
 * <p>The limit starts low, grows by one with each response in time while it is used, and falls when responses stay slow
 * for longer than a burst of noise, at refusals and at timeouts.
 */
public final class ConcurrencyLimit {
    /** Share of the slots that may be used at the start. */
    static final double START_SHARE = 0.25;
    /** Share of the slots below which refusals and timeouts do not lower the limit, so that responses keep coming. */
    static final double MIN_SHARE = 1.0 / 16;
    /** Responses that take longer than this multiple of the expected time are slow. */
    private static final double SLOW_RATIO = 2;
    /** Responses that take longer than this multiple let the limit stay. */
    private static final double GROWTH_RATIO = 1.5;
    /** The other workloads of a machine disturb it for about 600 ms at a time, which must not lower the limit. */
    private static final long NOISE_MS = 800;
    /** A response is slow if a part of its time was disturbed, so that slow ones arrive longer than the noise lasts. */
    private static final double NOISE_RESPONSES = 2;
    /** Least time between two reductions: the effect of the first must be seen in between. */
    private static final long REDUCTION_INTERVAL_MS = 300;

    private static final double SLOW_FACTOR = 0.85;
    private static final double REFUSED_FACTOR = 0.8;
    private static final double TIMEOUT_FACTOR = 0.6;
    /** Share of the limit that must be in use for it to grow. */
    private static final double USED_SHARE = 0.5;
    /** Time after which an entry without responses of its own follows the calls that other entries have in flight. */
    private static final long OWN_VALID_MS = 1_000;
    /** Share of the distance to the calls in flight that the limit follows with each report. */
    private static final double FOLLOW_SHARE = 0.25;
    /** Room beyond the calls in flight that the limit follows to, so that an entry without calls gets in. */
    private static final double FOLLOW_MARGIN = 1.1;

    private final int slots;
    private double limit;
    private int knownInFlight;
    private long slowSinceMs = -1;
    private long respondedAtMs = Long.MIN_VALUE / 2;
    private long reducedAtMs = Long.MIN_VALUE / 2;

    /** Creates the limit of a server that has just started. */
    public ConcurrencyLimit(int slots) {
        this.slots = Math.max(1, slots);
        restart();
    }

    /** Begins again at the low limit, as after a recovery, a pause or the first load of a model. */
    public void restart() {
        limit = Math.ceil(START_SHARE * slots);
        knownInFlight = 0;
        slowSinceMs = -1;
    }

    /**
     * Records a response.
     *
     * @param measuredMs how long it took
     * @param expectedMs how long it was expected to take at the server's estimated service rate
     * @param inFlight the calls that were in flight at the server, from all entries
     * @param own those of them that were this entry's; one of its responses stands for as many as each of them
     */
    public void onResponse(double measuredMs, double expectedMs, int inFlight, int own, long nowMs) {
        respondedAtMs = nowMs;
        double ratio = expectedMs <= 0 ? 1 : measuredMs / expectedMs;
        boolean used = inFlight >= USED_SHARE * limit;
        // Many entries that start calls together see few in flight at that time, and more at the next report.
        boolean loaded = Math.max(inFlight, knownInFlight) >= USED_SHARE * limit;
        // With few calls the server is slow because of other workloads, which fewer calls do not help.
        if (ratio <= SLOW_RATIO || !loaded) {
            slowSinceMs = -1;
            if (ratio <= GROWTH_RATIO && used) {
                limit = Math.min(slots, limit + Math.min(limit, inFlight / (double) Math.max(1, own)));
            }
            return;
        }
        if (slowSinceMs < 0) {
            slowSinceMs = nowMs;
        }
        if (nowMs - slowSinceMs >= NOISE_MS + NOISE_RESPONSES * expectedMs) {
            reduce(SLOW_FACTOR, START_SHARE, nowMs);
        }
    }

    /** Records the calls that are known to be in flight now, from all entries. */
    public void onKnown(int inFlight) {
        knownInFlight = inFlight;
    }

    /**
     * Follows the calls in flight over all entries, which other entries' limits allow, while this entry has no
     * responses of its own.
     */
    public void onReport(int inFlight, long nowMs) {
        double followed = Math.min(slots, FOLLOW_MARGIN * inFlight + 1);
        if (followed > limit && nowMs - respondedAtMs >= OWN_VALID_MS) {
            limit += FOLLOW_SHARE * (followed - limit);
        }
    }

    /** Records that the server refused a call because it was busy. */
    public void onRefused(long nowMs) {
        reduce(REFUSED_FACTOR, MIN_SHARE, nowMs);
    }

    /** Records that a response did not arrive in time. */
    public void onTimeout(long nowMs) {
        reduce(TIMEOUT_FACTOR, MIN_SHARE, nowMs);
    }

    /** Returns the calls that may be in flight over all entries; at least 1, at most the number of slots. */
    public double calls() {
        return limit;
    }

    private void reduce(double factor, double minShare, long nowMs) {
        if (nowMs - reducedAtMs < REDUCTION_INTERVAL_MS) {
            return;
        }
        reducedAtMs = nowMs;
        limit = Math.min(limit, Math.max(Math.max(1, minShare * slots), limit * factor));
    }
}

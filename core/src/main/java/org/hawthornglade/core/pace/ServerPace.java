package org.hawthornglade.core.pace;

import java.util.HashMap;
import java.util.Map;

/** The service rate and the concurrency limit of one run of a server, as known to one entry. */
public final class ServerPace {
    /** Time without a report of other entries' calls after which this entry's share begins to fall. */
    static final long SHARE_VALID_MS = 1_500;
    /** Time in which an unconfirmed share falls to half. */
    private static final long SHARE_HALF_LIFE_MS = 1_000;
    /** The usual interval counts as this many responses. */
    private static final int INTERVAL_START_RESPONSES = 4;
    /** Weight of the newest interval, so that a disturbance of 600 ms moves the estimate little. */
    private static final double INTERVAL_WEIGHT = 0.05;

    private final StatedSlowdown stated = new StatedSlowdown();
    private final Map<Object, PaceEstimator> byKind = new HashMap<>();
    /** One estimate over all models, as an entry sees few responses of each; single ones say little. */
    private final PaceEstimator intervals = new PaceEstimator(INTERVAL_START_RESPONSES, INTERVAL_WEIGHT);

    private final int slots;
    private final ConcurrencyLimit limit;
    private final EntryShare share;
    private final EntryShare memoryShare;
    private long lastReportMs = Long.MIN_VALUE;

    /**
     * Creates the pace of a server that has just started.
     *
     * @param slots the calls that it can run concurrently
     */
    public ServerPace(int slots) {
        this.slots = slots;
        this.limit = new ConcurrencyLimit(slots);
        this.share = new EntryShare(slots);
        this.memoryShare = new EntryShare(slots);
    }

    /** Returns the concurrency limit over all entries. */
    public ConcurrencyLimit limit() {
        return limit;
    }

    /** Returns this entry's share in the free room of the server. */
    public EntryShare share() {
        return share;
    }

    /** Returns this entry's share in the free memory of the server. */
    public EntryShare memoryShare() {
        return memoryShare;
    }

    /** Records that this entry has started a call. */
    public void onStarted() {
        share.onStarted();
        memoryShare.onStarted();
    }

    /** Records that a call of this entry has ended. */
    public void onEnded() {
        share.onEnded();
        memoryShare.onEnded();
    }

    /** Returns what the server states on its momentary service rate. */
    public StatedSlowdown stated() {
        return stated;
    }

    /**
     * Records a response.
     *
     * @param kind the kind of work, of which a server has few
     * @param measuredMs how long it took
     * @param usualMs how long the same work usually takes at the same number of calls
     * @param inFlight the calls that were in flight at the server, from all entries
     * @param own those of them that were this entry's
     */
    public void onResponse(Object kind, double measuredMs, double usualMs, int inFlight, int own, long nowMs) {
        double usualNowMs = usualMs * stated.slowdown(nowMs);
        PaceEstimator estimator = byKind.computeIfAbsent(kind, any -> new PaceEstimator());
        limit.onResponse(measuredMs, usualNowMs * estimator.baseSlowdown(nowMs), inFlight, own, nowMs);
        estimator.onResponse(measuredMs, usualNowMs, nowMs);
    }

    /**
     * Records the number of calls in flight.
     *
     * @param reportedAtMs when those of other entries were reported; each report counts once
     */
    public void onReport(int inFlight, long reportedAtMs, long nowMs) {
        limit.onKnown(inFlight);
        if (reportedAtMs != lastReportMs) {
            lastReportMs = reportedAtMs;
            limit.onReport(inFlight, nowMs);
        }
    }

    /**
     * Records the time between two events of a generation, which depends on the server and hardly on its queue.
     *
     * @param measuredMs the mean time between the events
     * @param usualMs how long it usually is for the same model
     */
    public void onInterval(double measuredMs, double usualMs, long nowMs) {
        intervals.onResponse(measuredMs, usualMs * stated.slowdown(nowMs), nowMs);
    }

    /** Returns how long a generation takes relative to the usual time, whatever its model. */
    public double generationSlowdown(long nowMs) {
        return stated.slowdown(nowMs) * intervals.slowdown(nowMs);
    }

    /** Returns the expected duration of a kind of work relative to the usual one. */
    public double slowdown(Object kind, long nowMs) {
        PaceEstimator estimator = byKind.get(kind);
        return stated.slowdown(nowMs) * (estimator == null ? 1 : estimator.slowdown(nowMs));
    }

    /** Returns the age of the newest response to a kind of work in milliseconds; very large if there was none. */
    public long ageMs(Object kind, long nowMs) {
        PaceEstimator estimator = byKind.get(kind);
        return estimator == null ? Long.MAX_VALUE : estimator.ageMs(nowMs);
    }

    /** Begins again with a low limit, as after a recovery, a pause or the first load of a model. */
    public void restart() {
        limit.restart();
        share.restart();
        memoryShare.restart();
    }

    /** Returns the calls that this entry may have in flight before the calls of others were ever reported. */
    public double firstOwnLimit(int entries) {
        return Math.max(1, slots / (double) Math.max(1, entries));
    }

    /**
     * Returns the calls that this entry may have in flight, apart from the limit over all entries.
     *
     * <p>There is no such bound while the calls of other entries are known. Afterwards the last share decays to an
     * equal share of the limit, but not below one call.
     *
     * @param ownAtReport this entry's calls when those of others were last reported
     * @param reportAgeMs the age of that report
     * @param entries the number of entries
     */
    public double ownLimit(int ownAtReport, long reportAgeMs, int entries) {
        if (reportAgeMs < SHARE_VALID_MS) {
            return Double.MAX_VALUE;
        }
        double equalShare = Math.max(1, limit.calls() / Math.max(1, entries));
        double halvings = (reportAgeMs - SHARE_VALID_MS) / (double) SHARE_HALF_LIFE_MS;
        return Math.max(equalShare, ownAtReport * Math.pow(0.5, halvings));
    }
}

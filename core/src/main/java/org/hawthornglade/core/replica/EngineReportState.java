package org.hawthornglade.core.replica;

/** Tracks whether an engine's state is known from its report, whether it is reachable, and when to request a report. */
final class EngineReportState {
    /** The maximum age of a report; one requested sooner after an order does not show the effect of the order. */
    private static final long REPORT_LAG_MS = 300;

    private boolean known;
    private boolean busy;
    private boolean unreachable;
    private boolean leaving;
    private long requestNotBeforeMs;

    /** Resets the state after a restart of the engine. */
    void reset() {
        known = false;
        busy = false;
        unreachable = false;
        leaving = false;
    }

    /** Records that a report request failed. */
    void onReportFailed() {
        known = false;
        unreachable = true;
    }

    /** Records that the engine may be unreachable; a report is requested at once. */
    void suspect(long nowMs) {
        if (known) {
            known = false;
            requestNotBeforeMs = nowMs;
        }
    }

    /** Records that the effect of an order is uncertain; a report is requested as soon as it would show the effect. */
    void onOrderEffectUnknown(long nowMs) {
        known = false;
        requestNotBeforeMs = nowMs + REPORT_LAG_MS;
    }

    /** Defers the next report until a time, when it shows the effect of an accepted order. */
    void requestNotBefore(long atMs) {
        requestNotBeforeMs = atMs;
    }

    /** Records that a report was requested or has arrived; the next one is due after {@link #REPORT_LAG_MS}. */
    void onReportRequested(long nowMs) {
        requestNotBeforeMs = nowMs + REPORT_LAG_MS;
    }

    /** Records that the engine has answered a report request. */
    void onAnswered(long nowMs) {
        unreachable = false;
        onReportRequested(nowMs);
    }

    /** Records whether the engine reports that it is carrying out an order; the report does not name the order. */
    void onReport(boolean nowBusy) {
        busy = nowBusy;
        known = !nowBusy;
    }

    /** Records that the instance list contradicts the known state. */
    void onContradiction() {
        known = false;
    }

    /** Records that the engine has announced to an entry that it is leaving. */
    void onLeavingAnnounced() {
        leaving = true;
    }

    boolean leaving() {
        return leaving;
    }

    boolean known() {
        return known;
    }

    boolean busy() {
        return busy;
    }

    boolean reachable() {
        return !unreachable;
    }

    boolean mayRequestReport(long nowMs) {
        return nowMs >= requestNotBeforeMs;
    }
}

package org.hawthornglade.core.replica;

/** How far an engine's own state is known, whether it can be counted on, and when it is asked next. */
final class EngineReportState {
    /** How old a report is at the most; one asked for earlier after an order does not show the order's effect. */
    private static final long REPORT_LAG_MS = 300;

    private boolean known;
    private boolean busy;
    private boolean unreachable;
    private boolean leaving;
    private long requestNotBeforeMs;

    /** Forgets what was known, since the engine has started anew. */
    void reset() {
        known = false;
        busy = false;
        unreachable = false;
        leaving = false;
    }

    /** Takes note that a report did not come. */
    void onReportFailed() {
        known = false;
        unreachable = true;
    }

    /** Takes note that the engine may no longer be reached; it is asked at once. */
    void suspect(long nowMs) {
        if (known) {
            known = false;
            requestNotBeforeMs = nowMs;
        }
    }

    /** Takes note that the effect of an order is not certain; it is asked once its report shows it. */
    void onOrderEffectUnknown(long nowMs) {
        known = false;
        requestNotBeforeMs = nowMs + REPORT_LAG_MS;
    }

    /** Takes note that an order was accepted, whose effect is looked up at a time. */
    void requestNotBefore(long atMs) {
        requestNotBeforeMs = atMs;
    }

    /** Takes note that the engine is asked, or has answered. */
    void onReportRequested(long nowMs) {
        requestNotBeforeMs = nowMs + REPORT_LAG_MS;
    }

    /** Takes note that the engine answers. */
    void onAnswered(long nowMs) {
        unreachable = false;
        onReportRequested(nowMs);
    }

    /** Takes whether the engine says that it carries out an order, which it does not name. */
    void onReport(boolean nowBusy) {
        busy = nowBusy;
        known = !nowBusy;
    }

    /** Takes note that the list shows something else than is known. */
    void onContradiction() {
        known = false;
    }

    /** Takes note that the engine has told an entry that it leaves. */
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

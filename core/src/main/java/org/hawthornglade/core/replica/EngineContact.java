package org.hawthornglade.core.replica;

/** How far an engine's own state is known, whether it can be counted on, and when it is asked next. */
final class EngineContact {
    /** How old a report is at the most; one asked for earlier after an order does not show the order's effect. */
    private static final long REPORT_LAG_MS = 300;

    private boolean known;
    private boolean busy;
    private boolean unreachable;
    private boolean saidToLeave;
    private long askNotBeforeMs;

    /** Forgets what was known, since the engine has started anew. */
    void restart() {
        known = false;
        busy = false;
        unreachable = false;
        saidToLeave = false;
    }

    /** Takes note that a report did not come. */
    void failed() {
        known = false;
        unreachable = true;
    }

    /** Takes note that the engine may no longer be reached; it is asked at once. */
    void doubt(long nowMs) {
        if (known) {
            known = false;
            askNotBeforeMs = nowMs;
        }
    }

    /** Takes note that the effect of an order is not certain; it is asked once its report shows it. */
    void unsure(long nowMs) {
        known = false;
        askNotBeforeMs = nowMs + REPORT_LAG_MS;
    }

    /** Takes note that an order was accepted, whose effect is looked up at a time. */
    void askNotBefore(long atMs) {
        askNotBeforeMs = atMs;
    }

    /** Takes note that the engine is asked, or has answered. */
    void asked(long nowMs) {
        askNotBeforeMs = nowMs + REPORT_LAG_MS;
    }

    /** Takes note that the engine answers. */
    void answered(long nowMs) {
        unreachable = false;
        asked(nowMs);
    }

    /** Takes whether the engine says that it carries out an order, which it does not name. */
    void reported(boolean nowBusy) {
        busy = nowBusy;
        known = !nowBusy;
    }

    /** Takes note that the list shows something else than is known. */
    void contradicted() {
        known = false;
    }

    /** Takes note that the engine has told an entry that it leaves. */
    void saidToLeave() {
        saidToLeave = true;
    }

    boolean leaves() {
        return saidToLeave;
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

    boolean mayAsk(long nowMs) {
        return nowMs >= askNotBeforeMs;
    }
}

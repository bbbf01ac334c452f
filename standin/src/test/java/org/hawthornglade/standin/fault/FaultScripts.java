package org.hawthornglade.standin.fault;

/** Short ways to write the scripts of fault tables. */
public final class FaultScripts {
    private FaultScripts() {}

    public static FaultScript slow(long slowMs) {
        return new FaultScript(slowMs, 0, 0, false, 0, 0, 0, 0, false, 0, 0, false, 0);
    }

    public static FaultScript down() {
        return new FaultScript(0, 0, 0, true, 0, 0, 0, 0, false, 0, 0, false, 0);
    }

    public static FaultScript failEvery(int calls, int status) {
        return new FaultScript(0, 0, 0, false, calls, status, 0, 0, false, 0, 0, false, 0);
    }

    public static FaultScript loseReplyEvery(int changes) {
        return new FaultScript(0, 0, 0, false, 0, 0, changes, 0, false, 0, 0, false, 0);
    }

    public static FaultScript rateLimit(long retryAfterMs) {
        return new FaultScript(0, 0, 0, false, 0, 0, 0, retryAfterMs, false, 0, 0, false, 0);
    }

    public static FaultScript freeze() {
        return new FaultScript(0, 0, 0, false, 0, 0, 0, 0, true, 0, 0, false, 0);
    }

    public static FaultScript speedPercent(int percent) {
        return new FaultScript(0, 0, 0, false, 0, 0, 0, 0, false, percent, 0, false, 0);
    }

    public static FaultScript crashLoadEvery(int loads) {
        return new FaultScript(0, 0, 0, false, 0, 0, 0, 0, false, 0, loads, false, 0);
    }

    public static FaultScript cutStreamEvery(int streams) {
        return new FaultScript(0, 0, 0, false, 0, 0, 0, 0, false, 0, 0, false, streams);
    }

    public static FaultScript stallStreams() {
        return new FaultScript(0, 0, 0, false, 0, 0, 0, 0, false, 0, 0, true, 0);
    }
}

package org.hawthornglade.core.notice;

/** Tracks the retry-after pause of an endpoint, during which no calls are sent to it. */
public final class PauseNotice {
    private long untilMs;

    /** Applies a retry-after time; a later end extends the pause, an earlier one does not shorten it. */
    public void receive(long retryAfterMs, long nowMs) {
        untilMs = Math.max(untilMs, nowMs + retryAfterMs);
    }

    /** Returns the end of the pause on the steady clock; a time in the past if the endpoint is not paused. */
    public long untilMs() {
        return untilMs;
    }

    /** Returns whether the endpoint is paused now. */
    public boolean active(long nowMs) {
        return nowMs < untilMs;
    }

    boolean received() {
        return untilMs != 0;
    }
}

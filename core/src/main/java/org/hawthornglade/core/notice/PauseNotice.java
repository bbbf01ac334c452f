package org.hawthornglade.core.notice;

/** The word of an endpoint that it wants nothing for a time. */
public final class PauseNotice {
    private long untilMs;

    /** Takes the word; a longer time extends an earlier one, a shorter one does not cut it. */
    public void receive(long forMs, long nowMs) {
        untilMs = Math.max(untilMs, nowMs + forMs);
    }

    /** Returns until when nothing is wanted, on the steady clock; a time that has passed if calls are taken. */
    public long untilMs() {
        return untilMs;
    }

    /** Returns whether nothing is wanted now. */
    public boolean active(long nowMs) {
        return nowMs < untilMs;
    }

    boolean received() {
        return untilMs != 0;
    }
}

package org.hawthornglade.core.notice;

/** The notices that one run of an endpoint has announced in its responses; they override the platform's list. */
public final class EndpointNotices {
    private final LeavingNotice leaving = new LeavingNotice();
    private final PauseNotice pause = new PauseNotice();
    private final RateLimitNotice rateLimit = new RateLimitNotice();

    public LeavingNotice leaving() {
        return leaving;
    }

    public PauseNotice pause() {
        return pause;
    }

    public RateLimitNotice rateLimit() {
        return rateLimit;
    }

    /** Returns whether calls may be sent: the endpoint has not announced that it is leaving and is not paused. */
    public boolean acceptsCalls(long nowMs) {
        return !leaving.received() && !pause.active(nowMs);
    }

    /** Returns whether the endpoint has announced nothing that must be kept while it is off the list. */
    public boolean isEmpty() {
        return !leaving.received() && !pause.received() && rateLimit.perSecond().isEmpty();
    }
}

package org.hawthornglade.core.notice;

/** What one start of an endpoint has said of itself; it binds whatever the platform's list says. */
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

    /** Returns whether calls may be sent there, as far as the endpoint itself has said. */
    public boolean acceptsCalls(long nowMs) {
        return !leaving.received() && !pause.active(nowMs);
    }

    /** Returns whether the endpoint has said nothing that has to be remembered. */
    public boolean isEmpty() {
        return !leaving.received() && !pause.received() && rateLimit.perSecond().isEmpty();
    }
}

package org.hawthornglade.core.notice;

/** What one start of an endpoint has said of itself; it binds whatever the platform's list says. */
public final class EndpointNotices {
    private final LeavingNotice leaving = new LeavingNotice();
    private final ShutNotice shut = new ShutNotice();
    private final LimitNotice limit = new LimitNotice();

    public LeavingNotice leaving() {
        return leaving;
    }

    public ShutNotice shut() {
        return shut;
    }

    public LimitNotice limit() {
        return limit;
    }

    /** Returns whether calls may be sent there, as far as the endpoint itself has said. */
    public boolean takesCalls(long nowMs) {
        return !leaving.given() && !shut.holds(nowMs);
    }

    /** Returns whether the endpoint has said nothing that has to be remembered. */
    public boolean none() {
        return !leaving.given() && !shut.given() && limit.perSecond().isEmpty();
    }
}

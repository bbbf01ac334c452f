package org.hawthornglade.core.notice;

/** The word of an endpoint that it leaves; it is not taken back within one start. */
public final class LeavingNotice {
    private boolean received;

    /** Takes note that the endpoint has said it. */
    public void receive() {
        received = true;
    }

    /** Returns whether the endpoint has said it. */
    public boolean received() {
        return received;
    }
}

package org.hawthornglade.core.notice;

/** Tracks whether an endpoint has announced that it is leaving; the notice is final for one run. */
public final class LeavingNotice {
    private boolean received;

    /** Records that the endpoint has announced that it is leaving. */
    public void markReceived() {
        received = true;
    }

    /** Returns whether the endpoint has announced that it is leaving. */
    public boolean received() {
        return received;
    }
}

package org.hawthornglade.core.notice;

/** Records that an endpoint has announced that it is leaving; final until the endpoint restarts. */
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

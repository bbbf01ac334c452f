package org.hawthornglade.gateway.http;

/** Why a request to another process got no whole response. */
public enum OutboundFailure {
    /** No connection could be made; nothing was sent. */
    NOT_CONNECTED(false),
    /** The connection ended before the first byte of the response. */
    CLOSED(true),
    /** The connection ended within the response. */
    BROKEN_OFF(true),
    /** The bytes are no response. */
    MALFORMED(true),
    /** The bytes go on beyond what a response may have. */
    ENDLESS(true),
    /** Nothing came within the time allowed. */
    TIMED_OUT(true);

    private final boolean maybeSent;

    OutboundFailure(boolean maybeSent) {
        this.maybeSent = maybeSent;
    }

    /** Returns whether the other side may have received the request. */
    public boolean maybeSent() {
        return maybeSent;
    }
}

package org.hawthornglade.gateway.http;

/** The reason why a request to another process got no complete response. */
public enum OutboundFailure {
    /** No connection could be made; nothing was sent. */
    NOT_CONNECTED(false),
    /** The connection ended before the first byte of the response. */
    CLOSED(true),
    /** The connection ended in the middle of the response. */
    BROKEN_OFF(true),
    /** The received bytes are not a valid response. */
    MALFORMED(true),
    /** The peer sent more bytes than a response may have. */
    ENDLESS(true),
    /** The peer answered with something else than the rest of a stream. */
    NOT_RESUMED(true),
    /** The peer sent an event of a stream that is not after the one before it. */
    OUT_OF_ORDER(true),
    /** The peer sent something in a stream that is not an event of it. */
    INVALID_EVENT(true),
    /** The peer answered from a state that it has lost since. */
    OUTDATED(true),
    /** Nothing was received within the allowed time. */
    TIMED_OUT(true);

    private final boolean maybeSent;

    OutboundFailure(boolean maybeSent) {
        this.maybeSent = maybeSent;
    }

    /** Returns whether the peer may have received the request. */
    public boolean maybeSent() {
        return maybeSent;
    }
}

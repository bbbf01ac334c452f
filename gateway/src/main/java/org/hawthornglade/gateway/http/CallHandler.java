package org.hawthornglade.gateway.http;

/** Handles incoming calls. */
public interface CallHandler {
    /** Handles a call that was read completely; the response may be sent later. */
    void onCall(IncomingCall call);
}

package org.hawthornglade.gateway.http;

/** Answers calls. */
public interface CallHandler {
    /** Takes a call that was read whole; its answer may come later. */
    void onCall(IncomingCall call);
}

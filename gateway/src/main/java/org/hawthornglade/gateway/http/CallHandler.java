package org.hawthornglade.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Handles incoming calls. */
public interface CallHandler {
    /** Handles a call that was read completely; the response may be sent later. */
    void onCall(IncomingCall call);

    /** Refuses a call whose body was not read; the connection is closed after the response. */
    default void onUnreadBody(IncomingCall call, UnreadBody reason) {
        call.response().send(HttpResponseStatus.SERVICE_UNAVAILABLE, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    /** Records a request that was begun to be read and is not handled. */
    default void onUnfinished(UnfinishedRequest request) {}

    /** Records a response that did not reach its caller. */
    default void onCut(CutResponse response) {}
}

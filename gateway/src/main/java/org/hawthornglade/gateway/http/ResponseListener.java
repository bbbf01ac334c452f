package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives one response as it arrives; exactly one of {@link #onEnd} and {@link #onFailure} is called last. */
public interface ResponseListener {
    /** Receives the status line and headers. */
    void onHead(HttpResponse head);

    /**
     * Receives a piece of the body.
     *
     * @param content valid during the call only
     */
    void onContent(ByteBuf content);

    /** Handles the end of a complete response. */
    void onEnd();

    /** Handles a failure; the response will not be completed. */
    void onFailure(OutboundFailure failure);
}

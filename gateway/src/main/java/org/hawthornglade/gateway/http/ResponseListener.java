package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes one response as it arrives; exactly one of {@link #onEnd} and {@link #onFailure} comes last. */
public interface ResponseListener {
    /** Takes the status line and headers. */
    void onHead(HttpResponse head);

    /**
     * Takes a piece of the body.
     *
     * @param content valid during the call only
     */
    void onContent(ByteBuf content);

    /** Takes note that the response is whole. */
    void onEnd();

    /** Takes note that the response will not become whole. */
    void onFailure(OutboundFailure failure);
}

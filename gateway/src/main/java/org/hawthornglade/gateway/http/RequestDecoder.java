package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and marks those whose length is stated in two ways, so that they are refused. */
final class RequestDecoder extends HttpRequestDecoder {
    /** Set on a request with both a length and chunks. */
    static final String AMBIGUOUS_LENGTH = "x-hawthornglade-ambiguous-length";

    private static final int MAX_CHUNK_BYTES = 65_536;

    RequestDecoder(int maxHeaderBytes) {
        super(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        message.headers().set(AMBIGUOUS_LENGTH, "1");
    }
}

package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and marks those with both a content length and chunked encoding, so that they are refused. */
final class RequestDecoder extends HttpRequestDecoder {
    /** Header that is set on a request with both a content length and chunked encoding. */
    static final String AMBIGUOUS_LENGTH = "x-hawthornglade-ambiguous-length";

    private static final int MAX_CHUNK_BYTES = 65_536;

    RequestDecoder(int maxHeaderBytes, int maxHeaderFields) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setHeadersFactory(CountedHeaders.factory(maxHeaderFields))
                .setTrailersFactory(CountedHeaders.factory(maxHeaderFields)));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        message.headers().set(AMBIGUOUS_LENGTH, "1");
    }
}

package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** What marks the end of a response's body (RFC 9112, section 6.3). */
public enum BodyFraming {
    /** The response has no body. */
    NONE,
    /** A header has the number of bytes. */
    LENGTH,
    /** The last chunk is empty. */
    CHUNKED,
    /** The body ends with its connection, which also ends when the sender fails. */
    CONNECTION;

    /** Returns the framing of the response to a request other than HEAD. */
    public static BodyFraming of(HttpResponse head) {
        HttpResponseStatus status = head.status();
        if (status.equals(HttpResponseStatus.NO_CONTENT) || status.equals(HttpResponseStatus.NOT_MODIFIED)) {
            return NONE;
        }
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKED;
        }
        return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CONNECTION;
    }
}

package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/** Decodes responses; one to HEAD has no body. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final SentRequests sentRequests;
    /** A status line was read, but not all headers. */
    private boolean insideHead;

    ResponseDecoder(SentRequests sentRequests) {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        this.sentRequests = sentRequests;
    }

    /** Returns whether bytes were received that are not a complete head or a part of a body yet. */
    boolean hasUndecodedBytes() {
        return insideHead || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        insideHead = true;
        return super.createMessage(statusLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
        super.decode(context, bytes, messages);
        if (!messages.isEmpty()) {
            insideHead = false;
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean answersHead =
                sentRequests.methodOf(message).filter(HttpMethod.HEAD::equals).isPresent();
        return answersHead || super.isContentAlwaysEmpty(message);
    }
}

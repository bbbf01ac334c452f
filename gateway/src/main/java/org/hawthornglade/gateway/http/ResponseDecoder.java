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
    private static final int STATUS_DIGITS = 3;

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
        if (!isStatus(statusLine[1])) {
            throw new IllegalArgumentException("status is not a number from 100 to 599");
        }
        return super.createMessage(statusLine);
    }

    /** Returns whether a text is three digits from 100 to 599; the superclass accepts any number, with a sign too. */
    private static boolean isStatus(String text) {
        return text.length() == STATUS_DIGITS
                && text.charAt(0) >= '1'
                && text.charAt(0) <= '5'
                && isDigit(text.charAt(1))
                && isDigit(text.charAt(2));
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
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

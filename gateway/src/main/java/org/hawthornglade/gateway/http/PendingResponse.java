package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.hawthornglade.core.overload.RetryNotice;

/** The response to one request on a caller's connection. */
final class PendingResponse implements CallerResponse {
    private final CallerConnection connection;
    private final Channel channel;
    private final HttpRequest head;
    private final boolean closeRequested;
    private Runnable goneListener = () -> {};
    private Runnable writableListener = () -> {};
    private boolean closeAnnounced;
    private boolean ended;

    /**
     * Creates a response of which nothing is written yet.
     *
     * @param head the request
     * @param closeRequested whether the caller requested that the connection is closed after this response
     */
    PendingResponse(CallerConnection connection, Channel channel, HttpRequest head, boolean closeRequested) {
        this.head = head;
        this.connection = connection;
        this.channel = channel;
        this.closeRequested = closeRequested;
    }

    @Override
    public void send(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
        if (ended) {
            content.release();
            return;
        }
        boolean bodiless = HttpMethod.HEAD.equals(head.method()) || status.equals(HttpResponseStatus.NOT_MODIFIED);
        if (!bodiless && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        addCloseHeader(headers);
        complete(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders()));
    }

    @Override
    public void start(HttpResponseStatus status, HttpHeaders headers) {
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        addCloseHeader(headers);
        Channels.write(channel, new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    @Override
    public void write(ByteBuf piece) {
        Channels.write(channel, new DefaultHttpContent(piece));
    }

    @Override
    public void finish() {
        if (!ended) {
            complete(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    @Override
    public void abort() {
        Channels.close(channel);
    }

    @Override
    public boolean writable() {
        return channel.isWritable();
    }

    @Override
    public void onGone(Runnable action) {
        goneListener = action;
    }

    @Override
    public void onWritable(Runnable action) {
        writableListener = action;
    }

    @Override
    public void callerGone() {
        if (!ended) {
            ended = true;
            goneListener.run();
        }
    }

    @Override
    public void writabilityChanged() {
        writableListener.run();
    }

    private void addCloseHeader(HttpHeaders headers) {
        if (closeRequested || connection.endsWithThisResponse()) {
            closeAnnounced = true;
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void complete(HttpObject end) {
        ended = true;
        // Without the announcement, the caller's next request could meet the close.
        boolean last = closeRequested || closeAnnounced;
        connection.onResponseComplete(head, write(end, last));
        connection.onResponseWritten(last);
    }

    private ChannelFuture write(HttpObject end, boolean last) {
        if (!last) {
            return Channels.write(channel, end);
        }
        return connection
                .awaitCloseMs()
                .map(timeoutMs -> Channels.writeAndAwaitClose(channel, end, timeoutMs))
                .orElseGet(() -> Channels.writeAndClose(channel, end));
    }

    @Override
    public void onRetryAfter(RetryNotice notice) {
        connection.onRetryAfter(notice);
    }

    @Override
    public Optional<RetryNotice> retryNotice() {
        return connection.retryNotice();
    }
}

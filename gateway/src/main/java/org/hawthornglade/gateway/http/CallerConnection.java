package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hawthornglade.core.serving.RequestLimits;

/** A caller's connection: collects requests, hands them on one after the other and keeps the answers in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** How many requests a caller may send ahead of their answers before reading stops. */
    private static final int MAX_PIPELINED = 8;

    private final CallerServer server;
    private final Deque<IncomingCall> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteBuf body;
    private PendingResponse current;
    private boolean refusing;
    private boolean closing;
    private long lastActiveMs;
    private long requestStartedMs;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        lastActiveMs = server.clock().nowMs();
        server.opened(this);
        scheduleTimeoutCheck();
    }

    @Override
    public void channelRead(ChannelHandlerContext reader, Object message) {
        try {
            if (!refusing) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Takes note of the first bytes of a request, before they make a whole head. */
    void onBytes() {
        if (requestStartedMs == 0) {
            requestStartedMs = server.clock().nowMs();
        }
    }

    private void read(HttpObject message) {
        if (message instanceof HttpRequest request) {
            startRequest(request);
        }
        if (message instanceof HttpContent content && head != null) {
            addContent(content);
        }
    }

    private void startRequest(HttpRequest request) {
        Optional<HttpResponseStatus> fault =
                RequestCheck.fault(request, server.limits().maxBodyBytes());
        if (fault.isPresent()) {
            refuse(fault.get());
            return;
        }
        head = request;
        body = context.alloc().buffer();
        if (HttpUtil.is100ContinueExpected(request)) {
            Channels.write(
                    context.channel(), new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void addContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (body.readableBytes() + content.content().readableBytes()
                > server.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            finishRequest();
        }
    }

    private void finishRequest() {
        PendingResponse response = new PendingResponse(!HttpUtil.isKeepAlive(head));
        IncomingCall call =
                new IncomingCall(head, body, response, server.clock().nowMs());
        response.call = call;
        head = null;
        body = null;
        requestStartedMs = 0;
        waiting.add(call);
        server.callOpened();
        if (waiting.size() >= MAX_PIPELINED) {
            context.channel().config().setAutoRead(false);
        }
        startNext();
    }

    private void startNext() {
        if (current != null || waiting.isEmpty() || closing) {
            return;
        }
        IncomingCall call = waiting.poll();
        context.channel().config().setAutoRead(true);
        current = (PendingResponse) call.response();
        server.handler().onCall(call);
    }

    /** Refuses what cannot be read as a request; the connection cannot be used any further. */
    private void refuse(HttpResponseStatus status) {
        refusing = true;
        if (current != null || !waiting.isEmpty()) {
            Channels.close(context.channel());
            return;
        }
        DefaultFullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        Channels.writeAndClose(context.channel(), answer);
    }

    private void scheduleTimeoutCheck() {
        long checkEveryMs = Math.max(100, server.limits().headerTimeoutMs() / 3);
        server.timers().after(checkEveryMs, this::checkTimeouts);
    }

    private void checkTimeouts() {
        if (!context.channel().isActive()) {
            return;
        }
        long nowMs = server.clock().nowMs();
        RequestLimits limits = server.limits();
        boolean slowHead = head == null
                && requestStartedMs != 0
                && current == null
                && nowMs - requestStartedMs > limits.headerTimeoutMs();
        boolean slowBody = head != null && nowMs - requestStartedMs > limits.idleTimeoutMs();
        boolean idle = head == null
                && requestStartedMs == 0
                && current == null
                && nowMs - lastActiveMs > limits.idleTimeoutMs();
        if (slowHead || slowBody) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (idle) {
            Channels.close(context.channel());
        }
        scheduleTimeoutCheck();
    }

    /** Ends the connection if no request is open on it. */
    void closeIfIdle() {
        if (current == null && waiting.isEmpty() && head == null && requestStartedMs == 0) {
            Channels.close(context.channel());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        closing = true;
        if (body != null) {
            body.release();
            body = null;
        }
        waiting.forEach(this::discard);
        waiting.clear();
        if (current != null) {
            current.gone();
        }
    }

    private void discard(IncomingCall call) {
        call.body().release();
        server.callClosed();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        if (current != null) {
            current.writabilityChanged.run();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        Channels.close(failed.channel());
    }

    /** The answer to the request that is open on this connection. */
    private final class PendingResponse implements CallerResponse {
        private final boolean closeWanted;
        private IncomingCall call;
        private Runnable whenGone = () -> {};
        private Runnable writabilityChanged = () -> {};
        private boolean ended;

        PendingResponse(boolean closeWanted) {
            this.closeWanted = closeWanted;
        }

        @Override
        public void sendWhole(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
            if (ended) {
                content.release();
                return;
            }
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders());
            if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            }
            markClose(headers);
            complete(answer);
        }

        @Override
        public void start(HttpResponseStatus status, HttpHeaders headers) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            markClose(headers);
            Channels.write(context.channel(), new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
        }

        @Override
        public void write(ByteBuf piece) {
            Channels.write(context.channel(), new DefaultHttpContent(piece));
        }

        @Override
        public void finish() {
            if (!ended) {
                complete(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }

        @Override
        public void abort() {
            Channels.close(context.channel());
        }

        @Override
        public boolean writable() {
            return context.channel().isWritable();
        }

        @Override
        public void onGone(Runnable action) {
            whenGone = action;
        }

        @Override
        public void onWritable(Runnable action) {
            writabilityChanged = action;
        }

        private void markClose(HttpHeaders headers) {
            if (closeWanted || server.isStopping()) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void complete(HttpObject last) {
            boolean close = closeWanted || server.isStopping();
            ended = true;
            discard(call);
            current = null;
            lastActiveMs = server.clock().nowMs();
            if (close) {
                closing = true;
                Channels.writeAndClose(context.channel(), last);
                return;
            }
            Channels.write(context.channel(), last);
            startNext();
        }

        private void gone() {
            if (ended) {
                return;
            }
            ended = true;
            current = null;
            whenGone.run();
            discard(call);
        }
    }
}

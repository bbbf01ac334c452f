package org.hawthornglade.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
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
import java.util.OptionalLong;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.gateway.memory.BodyReader;
import org.hawthornglade.gateway.memory.BodyReservation;

/** A connection from a caller: reads requests, handles them one at a time and keeps the responses in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements BodyReader {
    /** Reading stops when this many pipelined requests are queued. */
    private static final int MAX_PIPELINED = 8;
    /** A new connection is kept open for this time during a stop, because its first request may be in transit. */
    private static final long FIRST_REQUEST_GRACE_MS = 250;

    private final CallerServer server;
    private final Deque<ReceivedCall> queued = new ArrayDeque<>();
    private Optional<ReceivedCall> current = Optional.empty();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private RequestBody body;
    private boolean continueExpected;
    private long heldBackAtMs;
    private boolean refusing;
    private Optional<HttpResponseStatus> refusal = Optional.empty();
    private boolean closing;
    private long lastActiveMs;
    private long requestStartedMs;
    private boolean receivedBytes;

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

    /** Records the start of a request, before its head is complete. */
    void onBytesReceived() {
        receivedBytes = true;
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
                RequestValidator.fault(request, server.limits().maxBodyBytes());
        if (fault.isPresent()) {
            refuse(fault.get());
            return;
        }
        onBytesReceived();
        head = request;
        body = openBody(request);
        if (!server.bodies().fits(HttpUtil.getContentLength(request, 0L))) {
            refuseForMemory();
            return;
        }
        continueExpected = HttpUtil.is100ContinueExpected(request);
        readOnIfReserved();
        sendContinue();
    }

    private RequestBody openBody(HttpRequest request) {
        OptionalLong announcedBytes = HttpUtil.isTransferEncodingChunked(request)
                ? OptionalLong.empty()
                : OptionalLong.of(HttpUtil.getContentLength(request, 0L));
        BodyReservation reservation =
                server.bodies().open(announcedBytes, server.limits().maxBodyBytes(), this);
        return new RequestBody(context.alloc(), reservation);
    }

    /** Reads on if memory is reserved for the next bytes; else the connection is not read until it is. */
    private void readOnIfReserved() {
        if (!body.reservation().tryReadOn() && heldBackAtMs == 0) {
            heldBackAtMs = server.clock().nowMs();
            updateReading();
        }
    }

    @Override
    public void readOn() {
        if (heldBackAtMs != 0) {
            // The caller could not send meanwhile, so that this time does not count against it.
            requestStartedMs += server.clock().nowMs() - heldBackAtMs;
            heldBackAtMs = 0;
        }
        updateReading();
        sendContinue();
    }

    @Override
    public void refuseOverdue() {
        refuseForMemory();
        startNext();
    }

    /** Refuses the request in its turn; the rest of it is discarded, so that the caller can read the response. */
    private void refuseForMemory() {
        server.bodies().reportRefused(body.reservation());
        discardBody();
        refusing = true;
        PendingResponse response = new PendingResponse(this, context.channel(), head.method(), true);
        enqueue(new ReceivedCall(
                new IncomingCall(
                        head, Unpooled.EMPTY_BUFFER, response, server.clock().nowMs()),
                Optional.empty()));
    }

    private void discardBody() {
        if (body != null) {
            body.discard();
            body = null;
        }
    }

    private void updateReading() {
        context.channel().config().setAutoRead(queued.size() < MAX_PIPELINED && heldBackAtMs == 0);
    }

    /** Asks for the body of a request that waits for this, after the responses to the previous ones. */
    private void sendContinue() {
        if (!continueExpected || heldBackAtMs != 0 || closing || current.isPresent() || !queued.isEmpty()) {
            return;
        }
        continueExpected = false;
        Channels.write(
                context.channel(), new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }

    private void addContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        int bytes = content.content().readableBytes();
        if (body.bytes() + bytes > server.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!body.reservation().tryReceive(bytes)) {
            refuseForMemory();
            return;
        }
        body.add(content.content());
        if (content instanceof LastHttpContent) {
            finishRequest();
        } else {
            readOnIfReserved();
        }
    }

    private void finishRequest() {
        PendingResponse response =
                new PendingResponse(this, context.channel(), head.method(), !HttpUtil.isKeepAlive(head));
        BodyReservation reservation = body.reservation();
        IncomingCall call =
                new IncomingCall(head, body.complete(), response, server.clock().nowMs());
        body = null;
        enqueue(new ReceivedCall(call, Optional.of(reservation)));
    }

    private void enqueue(ReceivedCall call) {
        head = null;
        continueExpected = false;
        requestStartedMs = 0;
        heldBackAtMs = 0;
        queued.add(call);
        server.callOpened();
        updateReading();
    }

    /** Starts the next request once all that has arrived is known, so that it is not answered as the last one. */
    @Override
    public void channelReadComplete(ChannelHandlerContext reader) {
        startNext();
        reader.fireChannelReadComplete();
    }

    private void startNext() {
        if (current.isPresent() || queued.isEmpty() || closing) {
            return;
        }
        ReceivedCall next = queued.poll();
        updateReading();
        current = Optional.of(next);
        if (next.reservation().isPresent()) {
            server.handler().onCall(next.call());
        } else {
            server.handler().onNoMemory(next.call());
        }
    }

    /** Refuses an invalid or slow request after the responses to the previous ones; nothing more is read. */
    private void refuse(HttpResponseStatus status) {
        refusing = true;
        refusal = Optional.of(status);
        discardBody();
        heldBackAtMs = 0;
        updateReading();
        if (current.isEmpty() && queued.isEmpty()) {
            sendRefusal(status);
        }
    }

    private void sendRefusal(HttpResponseStatus status) {
        closing = true;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        Channels.writeAndClose(context.channel(), response);
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
                && current.isEmpty()
                && nowMs - requestStartedMs > limits.headerTimeoutMs();
        boolean slowBody = head != null && heldBackAtMs == 0 && nowMs - requestStartedMs > limits.idleTimeoutMs();
        boolean idle = head == null
                && requestStartedMs == 0
                && current.isEmpty()
                && nowMs - lastActiveMs > limits.idleTimeoutMs();
        if (refusing) {
            scheduleTimeoutCheck();
            return;
        }
        if (slowHead || slowBody) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (idle) {
            Channels.close(context.channel());
        }
        scheduleTimeoutCheck();
    }

    /** Closes the connection if no request is open on it. */
    void closeIfIdle() {
        boolean justOpened = !receivedBytes && server.clock().nowMs() - lastActiveMs < FIRST_REQUEST_GRACE_MS;
        if (!justOpened && current.isEmpty() && queued.isEmpty() && head == null && requestStartedMs == 0) {
            Channels.close(context.channel());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        closing = true;
        discardBody();
        queued.forEach(this::discard);
        queued.clear();
        current.ifPresent(received -> {
            current = Optional.empty();
            received.call().response().callerGone();
            discard(received);
        });
    }

    /** Returns the method of the request that is being answered. */
    Optional<HttpMethod> method() {
        return current.map(received -> received.call().head().method());
    }

    /** Returns whether a stop is in progress and no further request has been read, not even a part of its body. */
    boolean endsWithThisResponse() {
        return server.isDraining() && queued.isEmpty() && head == null && refusal.isEmpty();
    }

    /** Completes the current request and starts the next one, unless the response was the last on this connection. */
    void onResponseWritten(boolean last) {
        current.ifPresent(this::discard);
        current = Optional.empty();
        lastActiveMs = server.clock().nowMs();
        closing |= last;
        startNext();
        sendContinue();
        if (current.isEmpty() && !closing) {
            refusal.ifPresent(this::sendRefusal);
        }
    }

    private void discard(ReceivedCall received) {
        received.call().body().release();
        received.reservation().ifPresent(BodyReservation::release);
        server.callClosed();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        current.ifPresent(received -> received.call().response().writabilityChanged());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        Channels.close(failed.channel());
    }

    /** Returns whether the rest of a refused request may still arrive after its response. */
    boolean discardsRest() {
        return refusing && refusal.isEmpty() && queued.isEmpty();
    }

    /**
     * A request with a response that is due.
     *
     * @param reservation the memory of its body; empty if it is refused because there was none
     */
    private record ReceivedCall(IncomingCall call, Optional<BodyReservation> reservation) {}
}

package org.hawthornglade.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
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
import org.hawthornglade.core.caller.TransferRate;
import org.hawthornglade.core.overload.RetryNotice;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.gateway.memory.BodyReader;
import org.hawthornglade.gateway.memory.BodyReservation;
import org.hawthornglade.gateway.memory.RequestBodyBudget;

/** A connection from a caller: reads requests, handles them one at a time and keeps the responses in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements BodyReader, HeadBudget.Holder {
    /** The decoder gets this much at a time outside of bodies: few requests follow the last that may be queued. */
    private static final int SLICE_BYTES = 1_024;
    /** The decoder gets this much at a time in a body without a length. */
    private static final int CHUNKED_SLICE_BYTES = 4_096;
    /** Limits for a read, so that little is held undecoded: outside of bodies, and in a body without a length. */
    private static final int MAX_HEAD_READ_BYTES = 4_096;

    private static final int MAX_CHUNKED_READ_BYTES = 16_384;
    /** Upper estimate of the heap of an incomplete head for each of its bytes: the shortest fields have 4 bytes. */
    private static final int HEAP_PER_HEAD_BYTE = 32;
    /** A new connection is kept open for this time during a stop, because its first request may be in transit. */
    private static final long FIRST_REQUEST_GRACE_MS = 250;

    private final CallerServer server;
    private final UndecodedBytes undecoded = new UndecodedBytes(this);
    private final Deque<ReceivedCall> queued = new ArrayDeque<>();
    private Optional<ReceivedCall> current = Optional.empty();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private RequestBody body;
    private final RequestProgress progress = new RequestProgress();
    private final UnreadBytes unread = new UnreadBytes();
    private boolean continueExpected;
    private boolean refusing;
    private Optional<HttpResponseStatus> refusal = Optional.empty();
    private Optional<RetryNotice> retryNotice = Optional.empty();
    private boolean closing;
    private long lastActiveMs;
    private boolean receivedBytes;
    /** The bytes of a head that is not complete. */
    private int partialHeadBytes;
    /** The estimated heap of a complete head whose body is not complete. */
    private int headHeapBytes;

    private int queuedHeapBytes;

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

    UndecodedBytes undecoded() {
        return undecoded;
    }

    /** Returns whether received bytes may be decoded: not while enough requests are queued. */
    boolean decodesOn() {
        return refusing || queued.size() < server.callerLimits().maxPipelinedRequests();
    }

    /** Returns how many bytes may be decoded at once. */
    int sliceBytes() {
        if (body == null) {
            return SLICE_BYTES;
        }
        return (int) Math.max(SLICE_BYTES, body.announcedBytes() > 0 ? body.lackingBytes() : CHUNKED_SLICE_BYTES);
    }

    /** Returns how many bytes a read may bring. */
    int maxReadBytes() {
        if (body == null) {
            return MAX_HEAD_READ_BYTES;
        }
        return body.announcedBytes() > 0
                ? (int) Math.max(MAX_HEAD_READ_BYTES, Math.min(RequestBodyBudget.MAX_READ_BYTES, body.lackingBytes()))
                : MAX_CHUNKED_READ_BYTES;
    }

    /** Accounts for the heads that are held after all received bytes that may be decoded have been. */
    void onDecoded() {
        updateReading();
        accountForHeads();
    }

    private void accountForHeads() {
        if (closing) {
            return;
        }
        server.heads().set(this, (long) partialHeadBytes * HEAP_PER_HEAD_BYTE + headHeapBytes + queuedHeapBytes);
    }

    @Override
    public void closeForMemory() {
        Channels.close(context.channel());
    }

    /** Records bytes of a request that are decoded next, before its head is complete. */
    void onBytesReceived(int bytes) {
        receivedBytes = true;
        if (head == null && !refusing) {
            partialHeadBytes += bytes;
        }
        progress.onBytes(server.clock().nowMs());
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
            reportTooLong(request);
            refuse(fault.get());
            return;
        }
        onBytesReceived(0);
        partialHeadBytes = 0;
        headHeapBytes = HeadBudget.bytesOf(request);
        head = request;
        body = openBody(request);
        progress.onHead(new TransferRate(
                server.callerLimits().minBodyBytesPerS(),
                HttpUtil.getContentLength(request, 0L),
                server.clock().nowMs()));
        if (!server.bodies().fits(HttpUtil.getContentLength(request, 0L))) {
            refuseForMemory();
            return;
        }
        continueExpected = HttpUtil.is100ContinueExpected(request);
        readOnIfReserved();
        sendContinue();
    }

    private void reportTooLong(HttpRequest request) {
        int status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code();
        Throwable cause = request.decoderResult().cause();
        if (cause instanceof CountedHeaders.TooManyFieldsException) {
            server.listener().onRefused("fields", status, server.callerLimits().maxHeaderFields());
        } else if (cause instanceof TooLongFrameException) {
            server.listener().onRefused("head_bytes", status, server.limits().maxHeaderBytes());
        }
    }

    private RequestBody openBody(HttpRequest request) {
        if (!server.keepsBodies()) {
            return new RequestBody(
                    context.alloc(),
                    server.bodies().open(OptionalLong.of(0), server.limits().maxBodyBytes(), this),
                    0);
        }
        OptionalLong announcedBytes = HttpUtil.isTransferEncodingChunked(request)
                ? OptionalLong.empty()
                : OptionalLong.of(HttpUtil.getContentLength(request, 0L));
        BodyReservation reservation =
                server.bodies().open(announcedBytes, server.limits().maxBodyBytes(), this);
        return new RequestBody(context.alloc(), reservation, announcedBytes.orElse(0));
    }

    /** Reads on if memory is reserved for the next bytes; else the connection is not read until it is. */
    private void readOnIfReserved() {
        if (!body.reservation().tryReadOn() && progress.holdBack(server.clock().nowMs())) {
            updateReading();
        }
    }

    @Override
    public void readOn() {
        progress.readOn(server.clock().nowMs());
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
                        head, Unpooled.EMPTY_BUFFER, response, server.clock().nowMs(), !hasNoCall()),
                Optional.empty(),
                0));
    }

    private void discardBody() {
        if (body != null) {
            body.discard();
            body = null;
        }
    }

    private void updateReading() {
        boolean reads = decodesOn() && !progress.heldBack() && !undecoded.isHolding();
        context.channel().config().setAutoRead(reads);
    }

    /** Asks for the body of a request that waits for this, after the responses to the previous ones. */
    private void sendContinue() {
        if (!continueExpected || progress.heldBack() || closing || current.isPresent() || !queued.isEmpty()) {
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
        progress.onBody(bytes, server.clock().nowMs());
        if (body.bytes() + bytes > server.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (server.keepsBodies() && !body.reservation().tryReceive(bytes)) {
            refuseForMemory();
            return;
        }
        if (server.keepsBodies()) {
            body.add(content.content());
        } else {
            body.skip(bytes);
        }
        if (content instanceof LastHttpContent) {
            finishRequest();
        } else {
            readOnIfReserved();
        }
    }

    void onRetryAfter(RetryNotice notice) {
        retryNotice = Optional.of(notice);
    }

    Optional<RetryNotice> retryNotice() {
        return retryNotice;
    }

    private void finishRequest() {
        PendingResponse response =
                new PendingResponse(this, context.channel(), head.method(), !HttpUtil.isKeepAlive(head));
        BodyReservation reservation = body.reservation();
        IncomingCall call =
                new IncomingCall(head, body.complete(), response, server.clock().nowMs(), !hasNoCall());
        body = null;
        enqueue(new ReceivedCall(call, Optional.of(reservation), 0));
    }

    private void enqueue(ReceivedCall call) {
        head = null;
        continueExpected = false;
        progress.onEnd();
        partialHeadBytes = 0;
        queuedHeapBytes += headHeapBytes;
        queued.add(new ReceivedCall(call.call(), call.reservation(), headHeapBytes));
        headHeapBytes = 0;
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
        // A response that the caller does not read must not be followed by others that take memory too.
        if (current.isPresent()
                || queued.isEmpty()
                || closing
                || !context.channel().isWritable()) {
            return;
        }
        ReceivedCall next = queued.poll();
        queuedHeapBytes -= next.headHeapBytes();
        accountForHeads();
        updateReading();
        undecoded.resume();
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
        partialHeadBytes = 0;
        headHeapBytes = 0;
        refusal = Optional.of(status);
        discardBody();
        progress.stopHoldingBack();
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
                && progress.started()
                && current.isEmpty()
                && queued.isEmpty()
                && progress.ageMs(nowMs) > limits.headerTimeoutMs();
        boolean slowBody = head != null && !progress.heldBack() && progress.ageMs(nowMs) > limits.idleTimeoutMs();
        boolean idle = head == null
                && !progress.started()
                && current.isEmpty()
                && queued.isEmpty()
                && nowMs - lastActiveMs > limits.idleTimeoutMs();
        if (refusing) {
            scheduleTimeoutCheck();
            return;
        }
        boolean slowRate = head != null && progress.tooSlow(nowMs);
        if (slowHead || slowBody) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (slowRate) {
            server.listener()
                    .onRefused(
                            "body_rate",
                            HttpResponseStatus.REQUEST_TIMEOUT.code(),
                            server.callerLimits().minBodyBytesPerS());
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (idle) {
            Channels.close(context.channel());
        }
        scheduleTimeoutCheck();
    }

    /** Closes the connection if no request is open on it. */
    void closeIfIdle() {
        boolean justOpened = !receivedBytes && server.clock().nowMs() - lastActiveMs < FIRST_REQUEST_GRACE_MS;
        if (!justOpened && !undecoded.isHolding() && isIdle()) {
            Channels.close(context.channel());
        }
    }

    /** Returns whether no request is open, not even a part of one. */
    private boolean isIdle() {
        return current.isEmpty() && queued.isEmpty() && head == null && !progress.started();
    }

    /** Returns whether no complete request has been read that has no response yet. */
    boolean hasNoCall() {
        return current.isEmpty() && queued.isEmpty();
    }

    /** Returns whether a head is complete whose body is not. */
    boolean hasHead() {
        return head != null;
    }

    /** Returns when a response was completed last, or the connection was opened. */
    long lastActiveMs() {
        return lastActiveMs;
    }

    /** Checks the bytes of responses that the caller has not read; returns how many. */
    long checkUnread(long nowMs) {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return unread.onChecked(buffer == null ? 0 : buffer.totalPendingWriteBytes(), nowMs);
    }

    /** Returns since when the caller has read none of the bytes of responses that are due to it. */
    long unreadSinceMs() {
        return unread.sinceMs();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        closing = true;
        server.heads().set(this, 0);
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
        return server.isDraining() && queued.isEmpty() && head == null && refusal.isEmpty() && !undecoded.isHolding();
    }

    /** Completes the current request and starts the next one, unless the response was the last on this connection. */
    void onResponseWritten(boolean last) {
        current.ifPresent(this::discard);
        current = Optional.empty();
        lastActiveMs = server.clock().nowMs();
        closing |= last;
        startNext();
        sendContinue();
        if (current.isEmpty() && queued.isEmpty() && !closing) {
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
        if (context.channel().isWritable()) {
            startNext();
        }
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
     * @param headHeapBytes the estimated heap of its head
     */
    private record ReceivedCall(IncomingCall call, Optional<BodyReservation> reservation, int headHeapBytes) {}
}

package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.hawthornglade.core.overload.RetryNotice;
import org.hawthornglade.core.stop.OpenWork;
import org.hawthornglade.gateway.http.CallQueue.ReceivedCall;
import org.hawthornglade.gateway.http.UnfinishedRequest.End;
import org.hawthornglade.gateway.memory.BodyReservation;

/** A connection from a caller: handles its requests one at a time and keeps the responses in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements RequestAssembler.Listener, HeadBudget.Holder {
    /** A new connection is kept open for this time during a stop, because its first request may be in transit. */
    private static final long FIRST_REQUEST_GRACE_MS = 250;
    /** Time in which the rest of a refused request is discarded. */
    private static final long REST_OF_REQUEST_MS = 3_000;
    /** Time in which a caller closes its connection once it has the last response; longer if it is slow to read it. */
    private static final long DELIVERY_MS = 1_000;
    /** Timeouts are checked at most this often. */
    private static final long MIN_TIMEOUT_CHECK_MS = 100;

    private final CallerServer server;
    private final UndecodedBytes undecoded = new UndecodedBytes(this);
    private final CallQueue calls = new CallQueue();

    private ChannelHandlerContext context;
    private RequestAssembler assembler;
    private ResponseDelivery delivery;
    private boolean refusing;
    private Optional<HttpResponseStatus> refusal = Optional.empty();
    private Optional<RetryNotice> retryNotice = Optional.empty();
    private boolean closing;
    private long lastActiveMs;
    private boolean receivedBytes;
    private boolean readingStopped;
    private End endReason = End.DISCONNECTED;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        assembler = new RequestAssembler(server, added.alloc(), this);
        delivery = new ResponseDelivery(added.channel(), server.handler()::onCut);
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        lastActiveMs = server.clock().nowMs();
        server.opened(this);
        scheduleTimeoutCheck();
    }

    @Override
    public void channelRead(ChannelHandlerContext reader, Object message) {
        try {
            if (!refusing) {
                assembler.read((HttpObject) message);
                sendContinue();
            } else if (closing && refusal.isEmpty() && message instanceof HttpRequest head) {
                server.handler().onUnfinished(new UnfinishedRequest(Optional.of(head), End.AFTER_CLOSE, 0, 0, 0));
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
        return refusing || calls.waitingCount() < server.callerLimits().maxPipelinedRequests();
    }

    /** Returns how many bytes may be decoded at once. */
    int sliceBytes() {
        return assembler.sliceBytes();
    }

    /** Returns how many bytes a read may bring. */
    int maxReadBytes() {
        return assembler.maxReadBytes();
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
        server.heads().set(this, assembler.headHeapBytes() + calls.waitingHeapBytes());
    }

    @Override
    public void closeForMemory() {
        endReason = End.CLOSED_FOR_LIMITS;
        Channels.close(context.channel());
    }

    /** Records bytes that are decoded next. */
    void onBytesReceived(int bytes) {
        receivedBytes = true;
        if (!refusing) {
            assembler.onBytesReceived(bytes);
        }
    }

    @Override
    public void onReadabilityChanged() {
        updateReading();
        sendContinue();
    }

    /** Stops reading for good, because the process ends. */
    void stopReading() {
        readingStopped = true;
        updateReading();
    }

    private void updateReading() {
        boolean reads = !readingStopped && decodesOn() && !assembler.heldBack() && !undecoded.isHolding();
        context.channel().config().setAutoRead(reads);
    }

    /** Asks for the body of a request that waits for this, after the responses to the previous ones. */
    private void sendContinue() {
        if (!assembler.continueDue() || closing || !calls.isEmpty()) {
            return;
        }
        assembler.onContinueSent();
        Channels.write(
                context.channel(), new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }

    void onRetryAfter(RetryNotice notice) {
        retryNotice = Optional.of(notice);
    }

    Optional<RetryNotice> retryNotice() {
        return retryNotice;
    }

    @Override
    public void onComplete(HttpRequest head, ByteBuf body, BodyReservation reservation, int headHeapBytes) {
        IncomingCall call = call(head, body, !HttpUtil.isKeepAlive(head));
        enqueue(new ReceivedCall(call, Optional.of(reservation), Optional.empty(), headHeapBytes));
    }

    /** Refuses the request in its turn; the rest of it is discarded, so that the caller can read the response. */
    @Override
    public void onUnreadBody(HttpRequest head, UnreadBody reason, int headHeapBytes) {
        refusing = true;
        IncomingCall call = call(head, Unpooled.EMPTY_BUFFER, true);
        enqueue(new ReceivedCall(call, Optional.empty(), Optional.of(reason), headHeapBytes));
        startNext();
    }

    private IncomingCall call(HttpRequest head, ByteBuf body, boolean closeRequested) {
        PendingResponse response = new PendingResponse(this, context.channel(), head, closeRequested);
        return new IncomingCall(head, body, response, server.clock().nowMs(), !hasNoCall());
    }

    private void enqueue(ReceivedCall call) {
        calls.add(call);
        updateReading();
    }

    /** Starts the next request once all that has arrived is known, so that it is not answered as the last one. */
    @Override
    public void channelReadComplete(ChannelHandlerContext reader) {
        if (server.isRefusing()) {
            assembler.refuseAtStop();
        }
        startNext();
        reader.fireChannelReadComplete();
    }

    private void startNext() {
        // A response that the caller does not read must not be followed by others that take memory too.
        if (calls.current().isPresent()
                || !calls.hasWaiting()
                || closing
                || !context.channel().isWritable()) {
            return;
        }
        ReceivedCall next = calls.startNext();
        accountForHeads();
        updateReading();
        undecoded.resume();
        if (next.refusal().isPresent()) {
            server.handler().onUnreadBody(next.call(), next.refusal().get());
        } else {
            server.handler().onCall(next.call());
        }
    }

    /** Refuses an invalid or slow request after the responses to the previous ones; nothing more is read. */
    @Override
    public void onInvalid(HttpResponseStatus status) {
        refusing = true;
        refusal = Optional.of(status);
        assembler.unfinished(End.REFUSED, status.code()).ifPresent(server.handler()::onUnfinished);
        assembler.discard();
        updateReading();
        if (calls.isEmpty()) {
            sendRefusal(status);
        }
    }

    private void sendRefusal(HttpResponseStatus status) {
        closing = true;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        Channels.writeAndAwaitClose(context.channel(), response, REST_OF_REQUEST_MS);
    }

    private void scheduleTimeoutCheck() {
        long checkEveryMs = Math.max(MIN_TIMEOUT_CHECK_MS, server.limits().headerTimeoutMs() / 3);
        server.timers().after(checkEveryMs, this::checkTimeouts);
    }

    private void checkTimeouts() {
        if (!context.channel().isActive()) {
            return;
        }
        scheduleTimeoutCheck();
        if (refusing) {
            return;
        }
        long nowMs = server.clock().nowMs();
        Optional<RequestAssembler.SlowPart> slow = assembler.slowPart(server.limits(), !calls.isEmpty(), nowMs);
        if (slow.isPresent()) {
            refuseSlow(slow.get());
        } else if (isIdle()
                && delivery.pendingBytes() == 0
                && nowMs - lastActiveMs > server.limits().idleTimeoutMs()) {
            Channels.close(context.channel());
        }
    }

    private void refuseSlow(RequestAssembler.SlowPart slow) {
        HttpResponseStatus status = HttpResponseStatus.REQUEST_TIMEOUT;
        if (slow == RequestAssembler.SlowPart.BODY_RATE) {
            server.listener()
                    .onRefused("body_rate", status.code(), server.callerLimits().minBodyBytesPerS());
        }
        onInvalid(status);
    }

    /** Closes the connection if no request is open on it, once its caller has the last response. */
    void closeIfIdle() {
        boolean justOpened = !receivedBytes && server.clock().nowMs() - lastActiveMs < FIRST_REQUEST_GRACE_MS;
        if (justOpened || undecoded.isHolding() || !isIdle()) {
            return;
        }
        if (delivery.pendingBytes() == 0) {
            Channels.close(context.channel());
            return;
        }
        closing = true;
        refusing = true;
        Channels.writeAndAwaitClose(context.channel(), Unpooled.EMPTY_BUFFER, DELIVERY_MS);
    }

    /** Refuses the request whose body is not complete, because the entry stops; closes an idle connection. */
    void startRefusing() {
        assembler.refuseAtStop();
        closeIfIdle();
    }

    /** Refuses a request whose head is not complete, because the process ends. */
    void refusePartial() {
        if (!refusing && !closing && !assembler.isIdle()) {
            onInvalid(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Returns whether no request is open, not even a part of one. */
    private boolean isIdle() {
        return !refusing && calls.isEmpty() && assembler.isIdle();
    }

    /** Returns whether no complete request has been read that has no response yet. */
    boolean hasNoCall() {
        return calls.isEmpty();
    }

    /** Returns whether a head is complete whose body is not. */
    boolean hasHead() {
        return assembler.hasHead();
    }

    /** Returns whether bytes of a response are not handed to the system. */
    boolean hasPendingBytes() {
        return delivery.pendingBytes() > 0;
    }

    /** Returns when a response was completed last, or the connection was opened. */
    long lastActiveMs() {
        return lastActiveMs;
    }

    /** Checks the bytes of responses that the caller has not read; returns how many. */
    long checkUnread(long nowMs) {
        return delivery.checkUnread(nowMs);
    }

    /** Returns since when the caller has read none of the bytes of responses that are due to it. */
    long unreadSinceMs() {
        return delivery.unreadSinceMs();
    }

    /** Reports what is lost with the end of the connection, but for the request that is being handled. */
    private void reportUnfinished(End end) {
        assembler.unfinished(end, 0).ifPresent(server.handler()::onUnfinished);
        long nowMs = server.clock().nowMs();
        calls.waiting().forEach(call -> server.handler().onUnfinished(call.unfinished(end, nowMs)));
    }

    /** Reports what the end of the process cuts off. */
    void reportCutByStop() {
        reportUnfinished(End.CUT_BY_STOP);
        long nowMs = server.clock().nowMs();
        calls.current().ifPresent(call -> server.handler().onUnfinished(call.unfinished(End.CUT_BY_STOP, nowMs)));
        delivery.reportCutByStop();
    }

    /** Returns what the end of the process would cut off. */
    OpenWork openWork() {
        boolean partial = !closing && (!assembler.isIdle() || undecoded.isHolding());
        boolean undeliveredResponse = closing || delivery.pendingBytes() > 0;
        return new OpenWork(calls.size(), partial ? 1 : 0, undeliveredResponse ? 1 : 0);
    }

    /** Records the last response that is complete here, until it is handed to the system. */
    void onResponseComplete(HttpRequest head, ChannelFuture written) {
        delivery.add(head, written, () -> endReason);
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        closing = true;
        server.heads().set(this, 0);
        reportUnfinished(endReason);
        assembler.discard();
        for (ReceivedCall received : calls.removeWaiting()) {
            received.release();
        }
        // Its handler may still use its body.
        calls.current().ifPresent(received -> received.call().response().callerGone());
        calls.finishCurrent();
    }

    /** Returns the method of the request that is being answered. */
    Optional<HttpMethod> method() {
        return calls.current().map(received -> received.call().head().method());
    }

    /** Returns whether a stop is in progress and no further request has been read, not even a part of its body. */
    boolean endsWithThisResponse() {
        return server.isDraining()
                && !calls.hasWaiting()
                && !assembler.hasHead()
                && refusal.isEmpty()
                && !undecoded.isHolding();
    }

    /** Completes the current request and starts the next one, unless the response was the last on this connection. */
    void onResponseWritten(boolean last) {
        calls.finishCurrent();
        lastActiveMs = server.clock().nowMs();
        closing |= last;
        // What follows the last response is discarded.
        refusing |= last;
        startNext();
        sendContinue();
        if (calls.isEmpty() && !closing) {
            refusal.ifPresent(this::sendRefusal);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        calls.current().ifPresent(received -> received.call().response().writabilityChanged());
        if (context.channel().isWritable()) {
            startNext();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        Channels.close(failed.channel());
    }

    /**
     * Returns how long the caller has to close the connection after the last response; empty if it is closed at once.
     *
     * <p>The rest of a refused request may still arrive. At a stop, the response may have to be with the caller before
     * the process ends.
     */
    Optional<Long> awaitCloseMs() {
        if (refusing && refusal.isEmpty() && !calls.hasWaiting()) {
            return Optional.of(REST_OF_REQUEST_MS);
        }
        return server.isDraining() ? Optional.of(DELIVERY_MS) : Optional.empty();
    }
}

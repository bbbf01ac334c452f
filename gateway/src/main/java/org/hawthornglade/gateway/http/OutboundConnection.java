package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;

/**
 * A connection to another process that carries one request at a time.
 *
 * <p>A response whose id is not that of the open request is skipped: it is a late or duplicate response to an earlier
 * request. The connection is closed if bytes arrive while no request is open, or if more responses are skipped than an
 * endpoint has reason to send. The id does not distinguish two requests with one id, such as two attempts of one call
 * or calls of a caller that uses its id again, so that they need separate connections. A connection is closed before it
 * would have to forget an id, and after a request whose response must name none: a copy of that response could not be
 * told from the response to another such request.
 */
public final class OutboundConnection extends ChannelInboundHandlerAdapter {
    /** Limit for interim responses and responses to other requests before the expected response. */
    private static final int MAX_SKIPPED_RESPONSES = 16;
    /** Limit for the total size of the bodies of skipped responses. */
    private static final long MAX_SKIPPED_BYTES = 1_048_576;
    /** Limit for bytes that yield neither a head nor a part of a body. */
    static final long MAX_UNDECODED_BYTES = 65_536;

    private final ConnectionPool pool;
    private final SentRequests sentRequests;
    private final ResponseDecoder decoder;
    private Channel channel;
    private ResponseListener listener;
    private boolean written;
    private boolean headReceived;
    private boolean skipping;
    /** The head of a skipped response to another request. */
    private Optional<HttpResponse> skippedHead = Optional.empty();

    private BodyDigest bodyDigest = new BodyDigest();
    private int skippedResponses;
    private long skippedBytes;
    private long undecodedBytes;
    private boolean connectionReset;
    private boolean reusable;
    /** The response is complete; the connection becomes idle if nothing else arrives with its last bytes. */
    private boolean releasing;

    private BodyFraming framing = BodyFraming.NONE;
    private boolean startConfirmed;
    private long idleSinceMs;
    private long idleLimitMs;

    OutboundConnection(ConnectionPool pool, SentRequests sentRequests, ResponseDecoder decoder) {
        this.pool = pool;
        this.sentRequests = sentRequests;
        this.decoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request and releases its body, also on failure. */
    public void send(OutboundRequest request, ResponseListener responseListener) {
        listener = responseListener;
        sentRequests.add(request.method(), request.responseId());
        written = false;
        headReceived = false;
        skipping = false;
        skippedResponses = 0;
        skippedBytes = 0;
        undecodedBytes = 0;
        reusable = false;
        if (request.body().isReadable() || request.method().equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.body(),
                request.headers(),
                EmptyHttpHeaders.INSTANCE);
        channel.writeAndFlush(message).addListener(done -> {
            written = done.isSuccess();
            if (!done.isSuccess()) {
                fail(OutboundFailure.CLOSED);
            }
        });
    }

    /** Returns whether a request with this id was sent here, a late response to which would be mistaken for another. */
    public boolean hasSent(String id) {
        return sentRequests.contains(id);
    }

    /** Cancels the open request by closing the connection, which notifies the peer. */
    public void cancel() {
        listener = null;
        Channels.close(channel);
    }

    /** Pauses or resumes reading, as backpressure for a slower receiver. */
    public void setReading(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** Records that the process at the other end is the one that was expected; it is so until the connection closes. */
    public void confirmStart() {
        startConfirmed = true;
    }

    /** Returns whether the process at the other end is known to be the one that was expected. */
    public boolean startConfirmed() {
        return startConfirmed;
    }

    /** Returns whether the connection has not been closed by either side. */
    public boolean isOpen() {
        return channel.isActive();
    }

    boolean idleTooLong(long nowMs, double shareOfLimit) {
        return nowMs - idleSinceMs > idleLimitMs * shareOfLimit;
    }

    void markIdle(long nowMs) {
        idleSinceMs = nowMs;
    }

    void close() {
        Channels.close(channel);
    }

    void setIdleLimit(long limitMs) {
        idleLimitMs = limitMs;
    }

    /** Counts received bytes before they are decoded. */
    void onBytes(int bytes) {
        undecodedBytes += bytes;
    }

    /** Fails the request if too many bytes have yielded neither a head nor a part of a body. */
    void onDecoded() {
        if (undecodedBytes > MAX_UNDECODED_BYTES) {
            fail(OutboundFailure.ENDLESS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        undecodedBytes = 0;
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail(OutboundFailure.MALFORMED);
            return;
        }
        if (listener == null) {
            closeUnexpected(message);
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void closeUnexpected(HttpObject message) {
        if (message instanceof HttpResponse head && channel.isActive()) {
            report(UnexpectedResponse.Reason.NO_OPEN_REQUEST, head);
        }
        Channels.close(channel);
    }

    private void report(UnexpectedResponse.Reason reason, HttpResponse head) {
        pool.onUnexpectedResponse(new UnexpectedResponse(reason, head.status().code(), sentRequests.idOf(head)));
    }

    private void readHead(HttpResponse head) {
        if (sentRequests.severalSent() && JoinedHeads.isJoined(head)) {
            report(UnexpectedResponse.Reason.JOINED_HEAD, head);
            fail(OutboundFailure.MALFORMED);
            return;
        }
        boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        skipping = interim || !sentRequests.answersNewest(head);
        bodyDigest = new BodyDigest();
        if (!skipping) {
            beginResponse(head);
            return;
        }
        skippedHead = Optional.of(head).filter(skipped -> !interim);
        if (!interim && !canSkip(head)) {
            fail(OutboundFailure.MALFORMED);
            return;
        }
        skippedResponses++;
        failIfSkippedTooMuch();
    }

    /** Reports a response to another request, and returns whether the responses after it can be read. */
    private boolean canSkip(HttpResponse head) {
        Optional<String> id = sentRequests.idOf(head);
        if (id.isEmpty()) {
            report(UnexpectedResponse.Reason.NO_ID, head);
            return false;
        }
        boolean earlier = hasSent(id.get());
        report(earlier ? UnexpectedResponse.Reason.EARLIER_REQUEST : UnexpectedResponse.Reason.UNKNOWN_REQUEST, head);
        return !sentRequests.bodyUnknown(head);
    }

    private void beginResponse(HttpResponse head) {
        headReceived = true;
        framing = BodyFraming.of(head);
        reusable = HttpUtil.isKeepAlive(head) && framing != BodyFraming.CONNECTION && sentRequests.copyRecognisable();
        KeepAliveHeader.timeoutSeconds(head.headers()).ifPresent(seconds -> idleLimitMs = seconds * 1_000L);
        listener.onHead(head);
    }

    private void failIfSkippedTooMuch() {
        if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBytes > MAX_SKIPPED_BYTES) {
            fail(OutboundFailure.ENDLESS);
        }
    }

    private void readContent(HttpContent content) {
        bodyDigest.add(content.content());
        if (content instanceof LastHttpContent last) {
            bodyDigest.addTrailers(last.trailingHeaders());
        }
        if (skipping) {
            skippedBytes += content.content().readableBytes();
            failIfSkippedTooMuch();
        } else if (listener != null && content.content().isReadable()) {
            listener.onContent(content.content());
        }
        if (content instanceof LastHttpContent && listener != null) {
            endOfMessage();
        }
    }

    private void endOfMessage() {
        if (skipping) {
            endOfSkipped();
            return;
        }
        if (framing == BodyFraming.CONNECTION && connectionReset) {
            fail(OutboundFailure.BROKEN_OFF);
            return;
        }
        sentRequests.onResponse(bodyDigest.value());
        ResponseListener ended = listener;
        listener = null;
        releasing = reusable && written && channel.isActive() && !sentRequests.isFull();
        if (!releasing) {
            Channels.close(channel);
        }
        ended.onEnd();
    }

    /** Fails if a copy has taken bytes of the next response for the rest of its body. */
    private void endOfSkipped() {
        skipping = false;
        Optional<HttpResponse> differing =
                skippedHead.filter(head -> sentRequests.bodyDiffers(head, bodyDigest.value()));
        if (differing.isPresent()) {
            report(UnexpectedResponse.Reason.OTHER_BODY, differing.get());
            fail(OutboundFailure.MALFORMED);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (listener == null && decoder.hasUndecodedBytes()) {
            Channels.close(channel);
        }
        if (releasing) {
            release();
        }
        context.fireChannelReadComplete();
    }

    private void release() {
        releasing = false;
        if (!channel.isActive()) {
            return;
        }
        // The receiver of the response may have paused reading; the next one starts without backpressure.
        setReading(true);
        pool.release(this);
    }

    private void fail(OutboundFailure failure) {
        ResponseListener failed = listener;
        listener = null;
        Channels.close(channel);
        if (failed != null) {
            failed.onFailure(failure);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        fail(headReceived ? OutboundFailure.BROKEN_OFF : OutboundFailure.CLOSED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionReset = true;
        fail(headReceived ? OutboundFailure.BROKEN_OFF : OutboundFailure.CLOSED);
    }

    /** Returns an empty body. */
    public static ByteBuf noBody() {
        return Unpooled.EMPTY_BUFFER;
    }
}

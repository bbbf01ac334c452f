package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.caller.TransferRate;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.gateway.memory.BodyReader;
import org.hawthornglade.gateway.memory.BodyReservation;
import org.hawthornglade.gateway.memory.RequestBodyBudget;

/** Assembles the requests of one connection, one at a time, from what the decoder makes of the received bytes. */
final class RequestAssembler implements BodyReader {
    /** The decoder gets this much at a time outside of bodies: few requests follow the last that may be queued. */
    private static final int SLICE_BYTES = 1_024;
    /** The decoder gets this much at a time in a body without a length. */
    private static final int CHUNKED_SLICE_BYTES = 4_096;
    /** Limits for a read, so that little is held undecoded: outside of bodies, and in a body without a length. */
    private static final int MAX_HEAD_READ_BYTES = 4_096;

    private static final int MAX_CHUNKED_READ_BYTES = 16_384;
    /** Upper estimate of the heap of an incomplete head for each of its bytes: the shortest fields have 4 bytes. */
    private static final int HEAP_PER_HEAD_BYTE = 32;

    /** Receives what becomes of the requests. */
    interface Listener {
        /**
         * A request is complete.
         *
         * @param body must be released by the receiver
         * @param headHeapBytes the estimated heap of its head
         */
        void onComplete(HttpRequest head, ByteBuf body, BodyReservation reservation, int headHeapBytes);

        /** A request is invalid or too slow; nothing that follows it can be read. */
        void onInvalid(HttpResponseStatus status);

        /** A request whose body is not complete is to be refused; the rest of it must be discarded. */
        void onUnreadBody(HttpRequest head, UnreadBody reason, int headHeapBytes);

        /** The assembler can read on, or cannot until it has memory. */
        void onReadabilityChanged();
    }

    /** What is too slow about a request. */
    enum SlowPart {
        HEAD,
        BODY,
        /** The body arrives, but below the minimum rate. */
        BODY_RATE
    }

    private final CallerServer server;
    private final ByteBufAllocator allocator;
    private final Listener listener;
    private final RequestProgress progress = new RequestProgress();
    private HttpRequest head;
    private RequestBody body;
    private boolean continueExpected;
    /** The bytes of a head that is not complete. */
    private int partialHeadBytes;
    /** The estimated heap of a complete head whose body is not complete. */
    private int headHeapBytes;

    RequestAssembler(CallerServer server, ByteBufAllocator allocator, Listener listener) {
        this.server = server;
        this.allocator = allocator;
        this.listener = listener;
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

    /** Records bytes of a request that are decoded next, before its head is complete. */
    void onBytesReceived(int bytes) {
        if (head == null) {
            partialHeadBytes += bytes;
        }
        progress.onBytes(server.clock().nowMs());
    }

    /** Handles what the decoder has made of the received bytes. */
    void read(HttpObject message) {
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
            head = request.decoderResult().isSuccess() ? request : null;
            listener.onInvalid(fault.get());
            return;
        }
        progress.onBytes(server.clock().nowMs());
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
                    allocator,
                    server.bodies().open(OptionalLong.of(0), server.limits().maxBodyBytes(), this),
                    0);
        }
        OptionalLong announcedBytes = HttpUtil.isTransferEncodingChunked(request)
                ? OptionalLong.empty()
                : OptionalLong.of(HttpUtil.getContentLength(request, 0L));
        BodyReservation reservation =
                server.bodies().open(announcedBytes, server.limits().maxBodyBytes(), this);
        return new RequestBody(allocator, reservation, announcedBytes.orElse(0));
    }

    /** Reads on if memory is reserved for the next bytes; else the connection is not read until it is. */
    private void readOnIfReserved() {
        if (!body.reservation().tryReadOn() && progress.holdBack(server.clock().nowMs())) {
            listener.onReadabilityChanged();
        }
    }

    @Override
    public void readOn() {
        progress.readOn(server.clock().nowMs());
        listener.onReadabilityChanged();
    }

    @Override
    public void refuseOverdue() {
        refuseForMemory();
    }

    private void refuseForMemory() {
        server.bodies().reportRefused(body.reservation());
        refuseUnread(UnreadBody.NO_MEMORY);
    }

    /** Refuses the request whose body is not complete, if there is one, because the entry stops. */
    void refuseAtStop() {
        if (head != null) {
            refuseUnread(UnreadBody.STOPPING);
        }
    }

    /** Refuses the request whose body is not complete. */
    private void refuseUnread(UnreadBody reason) {
        HttpRequest refused = head;
        int heapBytes = headHeapBytes;
        discard();
        listener.onUnreadBody(refused, reason, heapBytes);
    }

    private void addContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            listener.onInvalid(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        int bytes = content.content().readableBytes();
        progress.onBody(bytes, server.clock().nowMs());
        if (body.bytes() + bytes > server.limits().maxBodyBytes()) {
            listener.onInvalid(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
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
            complete();
        } else {
            readOnIfReserved();
        }
    }

    private void complete() {
        HttpRequest completed = head;
        int heapBytes = headHeapBytes;
        BodyReservation reservation = body.reservation();
        ByteBuf bytes = body.complete();
        body = null;
        discard();
        listener.onComplete(completed, bytes, reservation, heapBytes);
    }

    /**
     * Returns what is known of a request that is not complete; empty if there is none.
     *
     * @param status the status of the response; 0 if there is none
     */
    Optional<UnfinishedRequest> unfinished(UnfinishedRequest.End end, int status) {
        if (isIdle()) {
            return Optional.empty();
        }
        long ageMs = progress.ageMs(server.clock().nowMs());
        long bodyBytes = body == null ? 0 : body.bytes();
        return Optional.of(new UnfinishedRequest(Optional.ofNullable(head), end, status, bodyBytes, ageMs));
    }

    /** Releases what is held of a request that is not complete. */
    void discard() {
        if (body != null) {
            body.discard();
            body = null;
        }
        head = null;
        continueExpected = false;
        partialHeadBytes = 0;
        headHeapBytes = 0;
        progress.onEnd();
    }

    /** Returns whether the caller waits for an interim response before it sends the body that can be read now. */
    boolean continueDue() {
        return continueExpected && !progress.heldBack();
    }

    /** Records that the interim response was sent. */
    void onContinueSent() {
        continueExpected = false;
    }

    /** Returns whether the connection is not read because memory for the body is lacking. */
    boolean heldBack() {
        return progress.heldBack();
    }

    /** Returns whether no part of a request is held. */
    boolean isIdle() {
        return head == null && !progress.started();
    }

    /** Returns whether a head is complete whose body is not. */
    boolean hasHead() {
        return head != null;
    }

    /** Returns the estimated heap of the head that is held, in bytes. */
    long headHeapBytes() {
        return (long) partialHeadBytes * HEAP_PER_HEAD_BYTE + headHeapBytes;
    }

    /**
     * Returns what is too slow about the request that is being received.
     *
     * @param behindOthers whether requests before it have no response yet; its head then has no limit
     */
    Optional<SlowPart> slowPart(RequestLimits limits, boolean behindOthers, long nowMs) {
        if (head == null) {
            boolean slow = progress.started() && !behindOthers && progress.ageMs(nowMs) > limits.headerTimeoutMs();
            return slow ? Optional.of(SlowPart.HEAD) : Optional.empty();
        }
        if (!progress.heldBack() && progress.ageMs(nowMs) > limits.idleTimeoutMs()) {
            return Optional.of(SlowPart.BODY);
        }
        return progress.tooSlow(nowMs) ? Optional.of(SlowPart.BODY_RATE) : Optional.empty();
    }
}

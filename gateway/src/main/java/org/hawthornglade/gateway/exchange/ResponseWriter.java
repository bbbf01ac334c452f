package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.gateway.http.CallerResponse;
import org.hawthornglade.gateway.port.CallProtocol;
import org.hawthornglade.gateway.port.CallRequest;

/** Writes the response to one call: an endpoint's response, complete or streamed, or an error of the entry. */
final class ResponseWriter {
    private final CallProtocol protocol;
    private final CallerResponse response;
    private final CallRequest request;
    private Optional<String> lastEventId = Optional.empty();
    private boolean started;

    ResponseWriter(CallProtocol protocol, CallerResponse response, CallRequest request) {
        this.protocol = protocol;
        this.response = response;
        this.request = request;
    }

    /** Returns whether part of a response has been sent to the caller. */
    boolean started() {
        return started;
    }

    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Sends an endpoint's complete response. */
    void send(HttpResponse head, ByteBuf body) {
        started = true;
        response.send(head.status(), protocol.responseHeaders(head.headers()), body);
    }

    /** Sends a piece of an endpoint's response, preceded by the head if nothing was sent before. */
    void stream(HttpResponse head, ByteBuf piece) {
        if (!started) {
            started = true;
            response.start(head.status(), protocol.responseHeaders(head.headers()));
        }
        if (piece.isReadable()) {
            response.write(piece);
        } else {
            piece.release();
        }
    }

    void setLastEventId(Optional<String> eventId) {
        lastEventId = eventId;
    }

    void finish() {
        response.finish();
    }

    void abort() {
        response.abort();
    }

    boolean writable() {
        return response.writable();
    }

    void onWritable(Runnable action) {
        response.onWritable(action);
    }

    /**
     * Sends an error of the entry itself.
     *
     * @return its HTTP status
     */
    int sendError(ResultCode code, long retryAfterMs) {
        started = true;
        return ErrorResponse.send(protocol, response, request.id(), code, retryAfterMs);
    }
}

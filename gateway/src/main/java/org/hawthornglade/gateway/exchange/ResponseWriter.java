package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.gateway.http.CallerResponse;
import org.hawthornglade.gateway.port.CallProtocol;
import org.hawthornglade.gateway.port.CallRequest;

/**
 * Writes the response to one call: an endpoint's response, complete or streamed, or an error of the entry.
 *
 * <p>Nothing but the rest of the same stream is written after a stream has started: another response is replaced by
 * the end of the connection, so that the stream does not look complete.
 */
final class ResponseWriter {
    private enum State {
        NOT_STARTED,
        /** The head of a stream was sent. */
        STARTED,
        ENDED
    }

    private final CallProtocol protocol;
    private final CallerResponse response;
    private final CallRequest request;
    private Optional<String> lastEventId = Optional.empty();
    private State state = State.NOT_STARTED;

    ResponseWriter(CallProtocol protocol, CallerResponse response, CallRequest request) {
        this.protocol = protocol;
        this.response = response;
        this.request = request;
    }

    /** Returns whether part of a response has been sent to the caller. */
    boolean started() {
        return state != State.NOT_STARTED;
    }

    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Sends an endpoint's complete response, or cuts a started stream. */
    void send(HttpResponse head, ByteBuf body) {
        if (state != State.NOT_STARTED) {
            body.release();
            abort();
            return;
        }
        state = State.ENDED;
        response.send(head.status(), protocol.responseHeaders(head.headers()), body);
    }

    /** Sends a piece of an endpoint's response, preceded by the head if nothing was sent before. */
    void stream(HttpResponse head, ByteBuf piece) {
        if (state == State.ENDED) {
            piece.release();
            return;
        }
        if (state == State.NOT_STARTED) {
            state = State.STARTED;
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

    /** Completes a started stream. */
    void finish() {
        if (state == State.STARTED) {
            state = State.ENDED;
            response.finish();
        }
    }

    /** Ends the connection, so that a started stream does not look complete. */
    private void abort() {
        if (state == State.STARTED) {
            state = State.ENDED;
            response.abort();
        }
    }

    boolean writable() {
        return response.writable();
    }

    void onWritable(Runnable action) {
        response.onWritable(action);
    }

    /**
     * Sends an error of the entry itself, or cuts a started stream.
     *
     * @return its HTTP status; 0 if a stream was cut
     */
    int sendError(ResultCode code, long retryAfterMs) {
        if (state != State.NOT_STARTED) {
            abort();
            return 0;
        }
        state = State.ENDED;
        return ErrorResponse.send(protocol, response, request.id(), code, retryAfterMs);
    }
}

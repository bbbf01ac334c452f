package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.hawthornglade.core.overload.RetryNotice;

/** Sends the response to one call; used on the event loop only. */
public interface CallerResponse {
    /** Sends a complete response. */
    void send(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Sends the head of a response whose length is not known yet. */
    void start(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a piece of a started response. */
    void write(ByteBuf piece);

    /** Completes a started response. */
    void finish();

    /** Closes the connection, so that a started response does not look complete. */
    void abort();

    /** Returns whether more can be written without exceeding the limit of the write buffer. */
    boolean writable();

    /** Sets the action to run if the caller disconnects before the response is complete. */
    void onGone(Runnable action);

    /** Sets the action to run when {@link #writable()} changes. */
    void onWritable(Runnable action);

    /** Handles the disconnect of the caller; called by its connection. */
    void callerGone();

    /** Handles a change of {@link #writable()}; called by its connection. */
    void writabilityChanged();

    /** Records on the connection that its caller is told when to come back; replaces an earlier record. */
    void onRetryAfter(RetryNotice notice);

    /** Returns what the caller was last told on this connection on when to come back. */
    Optional<RetryNotice> retryNotice();
}

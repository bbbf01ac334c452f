package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Where the answer to one call goes; used on the event loop only. */
public interface CallerResponse {
    /** Sends a whole answer. */
    void send(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Sends the head of an answer whose length is not known yet. */
    void start(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a piece of a started answer. */
    void write(ByteBuf piece);

    /** Ends a started answer as complete. */
    void finish();

    /** Ends the connection so that a started answer does not look complete. */
    void abort();

    /** Returns whether more may be written without filling up memory. */
    boolean writable();

    /** Sets what happens when the caller leaves before the answer is complete. */
    void onGone(Runnable action);

    /** Sets what happens when {@link #writable()} changes. */
    void onWritable(Runnable action);

    /** Takes note that the caller has left; called by its connection. */
    void callerGone();

    /** Takes note that {@link #writable()} has changed; called by its connection. */
    void writabilityChanged();
}

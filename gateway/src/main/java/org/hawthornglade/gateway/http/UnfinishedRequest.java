package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;

/**
 * A request that an entry has begun to read, and that ends without being handled.
 *
 * @param head its method, path and headers; empty if they were not complete, so that nothing identifies it
 * @param end how it ends
 * @param status the status of the response; 0 if there was none
 * @param bodyBytes how much of its body was read
 * @param ageMs the time since its first byte
 */
public record UnfinishedRequest(Optional<HttpRequest> head, End end, int status, long bodyBytes, long ageMs) {
    /** How a request ends that is not handled. */
    public enum End {
        /** Refused as invalid or too slow. */
        REFUSED,
        /** Sent behind a response that announced the end of the connection. */
        AFTER_CLOSE,
        /** The connection ended before it was complete or in turn. */
        DISCONNECTED,
        /** Its connection was closed because the limits on connections and memory were reached. */
        CLOSED_FOR_LIMITS,
        /** The process ended. */
        CUT_BY_STOP
    }
}

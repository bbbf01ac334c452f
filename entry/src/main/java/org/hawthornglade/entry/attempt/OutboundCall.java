package org.hawthornglade.entry.attempt;

import java.util.List;
import org.hawthornglade.protocol.gen.Header;

/**
 * The part of a caller's request that an entry sends to an agent.
 *
 * @param method the HTTP method at the endpoint
 * @param path the path and query at the endpoint
 * @param contentType the caller's content type; null if there is no body
 * @param headers the caller's headers to forward
 * @param body the caller's body; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record OutboundCall(String method, String path, String contentType, List<Header> headers, byte[] body) {
    /** Copies the list. */
    public OutboundCall {
        headers = List.copyOf(headers);
    }
}

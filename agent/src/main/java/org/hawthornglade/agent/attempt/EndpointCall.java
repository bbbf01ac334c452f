package org.hawthornglade.agent.attempt;

import java.util.List;
import org.hawthornglade.protocol.gen.Header;

/**
 * Holds an HTTP request to an endpoint.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param contentType the content type of the body; null if there is none
 * @param headers additional headers to send
 * @param body the body; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record EndpointCall(String method, String path, String contentType, List<Header> headers, byte[] body) {
    /** Copies the list of headers. */
    public EndpointCall {
        headers = List.copyOf(headers);
    }
}

package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * A request to another process.
 *
 * @param method the HTTP method
 * @param uri the path with its query, sent unchanged
 * @param headers the headers, except the length
 * @param body the complete body; released by the sending connection
 * @param responseId the id that the response must repeat, or that it must name none; empty if the peer repeats no ids
 */
public record OutboundRequest(
        HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, Optional<ExpectedResponseId> responseId) {}

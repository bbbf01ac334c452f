package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A response that was complete here and did not reach its caller.
 *
 * @param head the request
 * @param end how its connection ended
 * @param unsentBytes how much was not handed to the system; more may have been lost after that
 */
public record CutResponse(HttpRequest head, UnfinishedRequest.End end, long unsentBytes) {}

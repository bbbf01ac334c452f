package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request of a caller.
 *
 * @param head method, path and headers
 * @param body the complete body; released by the connection when the call has ended
 * @param response sends the response
 * @param arrivedAtMs the time at which its last byte was read
 * @param pipelined whether it was read before the response to the request before it on its connection
 */
public record IncomingCall(
        HttpRequest head, ByteBuf body, CallerResponse response, long arrivedAtMs, boolean pipelined) {}

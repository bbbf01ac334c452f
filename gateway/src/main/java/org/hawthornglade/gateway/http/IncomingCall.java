package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request as a caller sent it, with its whole body.
 *
 * @param head method, path and headers
 * @param body the body; released by the connection when the call has ended
 * @param response where the answer goes
 * @param arrivedAtMs when its last byte was read
 */
public record IncomingCall(HttpRequest head, ByteBuf body, CallerResponse response, long arrivedAtMs) {}

package org.hawthornglade.gateway.exchange;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.gateway.http.CallerResponse;
import org.hawthornglade.gateway.port.CallProtocol;

/** Sends an error response of the entry itself: a result code as HTTP status and JSON. */
final class ErrorResponse {
    private ErrorResponse() {}

    /**
     * Sends an error response.
     *
     * @param retryAfterMs when the caller may retry, from now; 0 if not at all
     * @return its HTTP status
     */
    static int send(CallProtocol protocol, CallerResponse response, RequestId id, ResultCode code, long retryAfterMs) {
        HttpHeaders headers = protocol.errorHeaders(id, code, retryAfterMs);
        String body = "{\"error\":{\"code\":" + code.number() + ",\"name\":\"" + code.name() + "\"}}\n";
        response.send(
                HttpResponseStatus.valueOf(code.httpStatus()),
                headers,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        return code.httpStatus();
    }
}

package org.hawthornglade.gateway.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.stream.EventRule;

/** Translates the headers of callers and endpoints on one platform. */
public interface CallProtocol {
    /** Reads a caller's headers; returns a failure if they are invalid. */
    Either<Failure, CallRequest> readCall(HttpRequest head);

    /** Returns the headers of an attempt: the caller's, except those reserved for the system, and the system's. */
    HttpHeaders attemptHeaders(HttpHeaders callerHeaders, AttemptParameters attempt);

    /** Reads the head of an endpoint's response. */
    ResponseHead readResponse(HttpResponse head);

    /** Returns the headers of an endpoint's response that are forwarded to the caller. */
    HttpHeaders responseHeaders(HttpHeaders endpointHeaders);

    /**
     * Returns the headers of an error response of the entry itself.
     *
     * @param code the result code
     * @param retryAfterMs when the caller may retry, from now; 0 if not at all
     */
    HttpHeaders errorHeaders(RequestId id, ResultCode code, long retryAfterMs);

    /** Returns the rule by which events belong to the streams of endpoints. */
    EventRule eventRule();

    /** Returns the name of the header by which responses are matched to requests. */
    String requestIdHeader();

    /** Returns the path of the readiness check of the load balancer. */
    String readinessPath();
}

package org.hawthornglade.gateway.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** The headers that callers, the system and endpoints speak on one ground. */
public interface CallProtocol {
    /** Reads a caller's headers; left with the fault if they are not sound. */
    Either<Failure, CallRequest> readCall(HttpRequest head);

    /** Makes the headers of an attempt: the caller's without those that are the system's to set, and the system's. */
    HttpHeaders attemptHeaders(HttpHeaders callerHeaders, AttemptParameters attempt);

    /** Reads the head of an endpoint's answer. */
    ResponseHead readResponse(HttpResponse head);

    /** Returns the headers of an endpoint's answer that go on to the caller. */
    HttpHeaders responseHeaders(HttpHeaders answerHeaders);

    /**
     * Makes the headers of an answer of the system's own.
     *
     * @param code the outcome
     * @param retryAfterMs when to come back, from now; 0 if not at all
     */
    HttpHeaders errorHeaders(RequestId id, ResultCode code, long retryAfterMs);

    /** Returns the header by which requests and their answers are matched. */
    String requestIdHeader();

    /** Returns the path on which the balancer asks whether this entry takes connections. */
    String readinessPath();
}

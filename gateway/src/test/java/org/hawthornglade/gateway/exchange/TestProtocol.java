package org.hawthornglade.gateway.exchange;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.resumption.TakeUp;
import org.hawthornglade.core.stream.EventRule;
import org.hawthornglade.core.stream.NumberedEventRule;
import org.hawthornglade.core.team.ApiKey;
import org.hawthornglade.core.team.Credential;
import org.hawthornglade.gateway.port.AttemptParameters;
import org.hawthornglade.gateway.port.CallProtocol;
import org.hawthornglade.gateway.port.CallRequest;
import org.hawthornglade.gateway.port.ResponseHead;

/** A protocol for tests with the few headers that the exchange needs. */
final class TestProtocol implements CallProtocol {
    private static final String ID = "X-Request-Id";
    private static final String LAST_EVENT = "Last-Event-Id";
    /** Header for the id of the attempt that began a stream which is taken up. */
    static final String ORIGIN = "X-Origin";
    /** Header for the time until the deadline of the caller, in milliseconds. */
    static final String REMAINING_MS = "X-Time-Left";
    /** Header for the time for which an endpoint pauses, in milliseconds. */
    static final String RETRY_AFTER_MS = "X-Shut-Ms";
    /** Header for the requests per second that an endpoint accepts from all entries together. */
    static final String LIMIT = "X-Limit";
    /** Header for the key of a caller; an empty key, or one with a space, cannot be read. */
    static final String KEY = "X-Key";
    /** Header for the name of the caller's team, in requests to endpoints. */
    static final String TEAM = "X-Team";
    /** Header for the priority of a call, in requests to endpoints. */
    static final String PRIORITY = "X-Urgency";
    /** The numeric field that may be the first line of an event. */
    static final String WEIGHTS_FIELD = "x-weights";

    /** How long work takes at the endpoint, relative to 1 as usual. */
    static final String SLOWDOWN = "X-Slowdown";

    private static final EventRule EVENT_RULE = new NumberedEventRule(Set.of(WEIGHTS_FIELD));

    @Override
    public Either<Failure, CallRequest> readCall(HttpRequest head) {
        String id = head.headers().get(ID);
        if (id == null) {
            return Either.left(Failure.of(ResultCode.BAD_REQUEST, "no id"));
        }
        Optional<String> lastEvent = Optional.ofNullable(head.headers().get(LAST_EVENT));
        String remaining = head.headers().get(REMAINING_MS);
        OptionalLong remainingMs =
                remaining == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(remaining));
        Optional<RequestId> origin =
                Optional.ofNullable(head.headers().get(ORIGIN)).map(RequestId::of);
        Optional<TakeUp> takeUp = lastEvent.map(event -> new TakeUp(origin));
        return Either.right(new CallRequest(
                RequestId.of(id),
                remainingMs,
                Optional.empty(),
                OptionalLong.empty(),
                lastEvent,
                takeUp,
                credential(head.headers())));
    }

    private static Credential credential(HttpHeaders headers) {
        List<String> keys = headers.getAll(KEY);
        if (keys.isEmpty()) {
            return Credential.NONE;
        }
        boolean readable =
                keys.size() == 1 && !keys.get(0).isEmpty() && !keys.get(0).contains(" ");
        return readable ? Credential.of(new ApiKey(keys.get(0))) : Credential.UNREADABLE;
    }

    @Override
    public HttpHeaders attemptHeaders(HttpHeaders callerHeaders, AttemptParameters attempt) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", callerHeaders.get("Host"));
        headers.set(ID, callerHeaders.get(ID));
        attempt.lastEventId().ifPresent(id -> headers.set(LAST_EVENT, id));
        headers.set(PRIORITY, attempt.priority());
        attempt.caller().team().ifPresent(team -> headers.set(TEAM, team.name().value()));
        return headers;
    }

    @Override
    public ResponseHead readResponse(HttpResponse head) {
        HttpHeaders headers = head.headers();
        return new ResponseHead(
                head.status().code(),
                headers.contains("X-Unrun"),
                Set.of(408, 421, 429, 503).contains(head.status().code()),
                head.status().code() == 421,
                headers.contains("X-Signature"),
                Optional.ofNullable(headers.get("X-Instance")).map(InstanceId::of),
                Optional.ofNullable(headers.get(SLOWDOWN))
                        .map(slowdown -> new ResponseHead.ReportedLoad(
                                1, 0, 8, OptionalDouble.of(Double.parseDouble(slowdown)))),
                headers.contains("X-Leaves"),
                headers.contains(RETRY_AFTER_MS)
                        ? OptionalLong.of(Long.parseLong(headers.get(RETRY_AFTER_MS)))
                        : OptionalLong.empty(),
                headers.contains(LIMIT)
                        ? OptionalDouble.of(Double.parseDouble(headers.get(LIMIT)))
                        : OptionalDouble.empty());
    }

    @Override
    public HttpHeaders responseHeaders(HttpHeaders answerHeaders) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("X-Signature", answerHeaders.get("X-Signature", "none"));
        return headers;
    }

    @Override
    public HttpHeaders errorHeaders(RequestId id, ResultCode code, long retryAfterMs) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (retryAfterMs > 0) {
            headers.set("Retry-After", retryAfterMs);
        }
        return headers;
    }

    @Override
    public EventRule eventRule() {
        return EVENT_RULE;
    }

    @Override
    public String requestIdHeader() {
        return ID;
    }

    @Override
    public String readinessPath() {
        return "/ready";
    }
}

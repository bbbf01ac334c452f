package org.hawthornglade.standin.http;

import io.vavr.control.Either;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.engine.EngineError;
import org.hawthornglade.ports.http.PlatformHttpClient;

/** Turns results into HTTP answers. */
public final class Responses {
    private static final long MS_PER_SECOND = 1_000;

    private Responses() {}

    /** Answers with the value, or with the failure. */
    public static Response of(Either<Failure, ?> result) {
        return result.fold(Responses::failure, Responses::ok);
    }

    /** Answers with a value. */
    public static Response ok(Object value) {
        return Response.ok(value, MediaType.APPLICATION_JSON_TYPE).build();
    }

    /** Answers with a failure: its status, its number, and when to come back. */
    public static Response failure(Failure failure) {
        EngineError.Detail detail =
                new EngineError.Detail(failure.message(), failure.code().number(), failure.retryAfterMs());
        Response.ResponseBuilder answer = Response.status(status(failure.code()))
                .type(MediaType.APPLICATION_JSON_TYPE)
                .entity(new EngineError(detail));
        if (failure.retryAfterMs() > 0) {
            answer.header("Retry-After", (failure.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND);
            answer.header(PlatformHttpClient.RETRY_AFTER_MS_HEADER, failure.retryAfterMs());
        }
        return answer.build();
    }

    private static int status(ResultCode code) {
        return switch (code) {
            case MEMORY_EXHAUSTED, ENGINE_REFUSED, STALE_FENCING_NUMBER -> Response.Status.CONFLICT.getStatusCode();
            case PLATFORM_REJECTED -> Response.Status.BAD_REQUEST.getStatusCode();
            default -> code.httpStatus();
        };
    }
}

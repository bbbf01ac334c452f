package org.hawthornglade.standin.http;

import io.vavr.control.Either;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.engine.EngineError;
import org.hawthornglade.ports.http.PlatformHttpClient;

/** Converts results into HTTP responses. */
public final class Responses {
    private static final long MS_PER_SECOND = 1_000;

    private Responses() {}

    /** Returns a response with the value or with the failure. */
    public static Response of(Either<Failure, ?> result) {
        return result.fold(Responses::failure, Responses::ok);
    }

    /** Returns a response with a value. */
    public static Response ok(Object value) {
        return Response.ok(value, MediaType.APPLICATION_JSON_TYPE).build();
    }

    /** Returns a response with a failure: its status, its number and its retry-after time. */
    public static Response failure(Failure failure) {
        EngineError.Detail detail =
                new EngineError.Detail(failure.message(), failure.code().number(), failure.retryAfterMs());
        Response.ResponseBuilder response = Response.status(status(failure.code()))
                .type(MediaType.APPLICATION_JSON_TYPE)
                .entity(new EngineError(detail));
        if (failure.retryAfterMs() > 0) {
            response.header("Retry-After", (failure.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND);
            response.header(PlatformHttpClient.RETRY_AFTER_MS_HEADER, failure.retryAfterMs());
        }
        return response.build();
    }

    private static int status(ResultCode code) {
        return switch (code) {
            case MEMORY_EXHAUSTED, ENGINE_REFUSED, STALE_FENCING_NUMBER -> Response.Status.CONFLICT.getStatusCode();
            case PLATFORM_REJECTED -> Response.Status.BAD_REQUEST.getStatusCode();
            default -> code.httpStatus();
        };
    }
}

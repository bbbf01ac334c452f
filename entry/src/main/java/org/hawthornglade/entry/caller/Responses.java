package org.hawthornglade.entry.caller;

import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.entry.attempt.CompleteResponse;

/** Builds the HTTP responses to callers. */
final class Responses {
    static final String REQUEST_ID = "X-Request-Id";

    private static final String REPLAYED = "Idempotent-Replayed";

    private static final long MS_PER_SECOND = 1_000;

    private Responses() {}

    static Response failure(RequestId id, Failure failure) {
        return failure(id, failure, failure.code().httpStatus());
    }

    static Response failure(RequestId id, Failure failure, int status) {
        Response.ResponseBuilder builder = Response.status(status)
                .type(MediaType.APPLICATION_JSON_TYPE)
                .header(REQUEST_ID, id.value())
                .entity(ErrorBody.of(failure));
        if (failure.retryAfterMs() > 0) {
            long seconds = (failure.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND;
            builder.header("Retry-After", seconds);
        }
        return builder.build();
    }

    static Response complete(RequestId id, CompleteResponse complete) {
        Response.ResponseBuilder builder = Response.status(complete.status())
                .header(REQUEST_ID, id.value())
                .entity(complete.body());
        if (complete.replayed()) {
            builder.header(REPLAYED, true);
        }
        complete.headers().forEach(header -> {
            if (!header.getName().equalsIgnoreCase(REQUEST_ID)) {
                builder.header(header.getName(), header.getValue());
            }
        });
        return builder.build();
    }
}

package org.hawthornglade.entry.caller;

import com.google.common.flogger.FluentLogger;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Maps exceptions that no resource handles to the JSON error object, never to an HTML page or a stack trace. */
public final class FailureMapper implements ExceptionMapper<Throwable> {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final RequestFactory requests;

    /** Creates the mapper. */
    public FailureMapper(RequestFactory requests) {
        this.requests = requests;
    }

    @Override
    public Response toResponse(Throwable thrown) {
        if (thrown instanceof WebApplicationException http) {
            int status = http.getResponse().getStatus();
            return Responses.failure(requests.nextId(), HttpErrors.failure(status), status);
        }
        LOG.atSevere().withCause(thrown).log("event=request_failed");
        return Responses.failure(
                requests.nextId(), Failure.of(ResultCode.INTERNAL_ERROR, "the entry failed to process this request"));
    }
}

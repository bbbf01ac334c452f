package org.hawthornglade.entry.caller;

import com.google.common.flogger.FluentLogger;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Answers what no resource answers with the error object; never with a page or a stack trace. */
public final class FailureMapper implements ExceptionMapper<Throwable> {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final RequestFactory requests;

    /** Creates the mapper. */
    public FailureMapper(RequestFactory requests) {
        this.requests = requests;
    }

    @Override
    public Response toResponse(Throwable thrown) {
        if (thrown instanceof WebApplicationException known) {
            int status = known.getResponse().getStatus();
            return Responses.failure(requests.nextId(), HttpErrors.failure(status), status);
        }
        LOG.atSevere().withCause(thrown).log("event=request_failed");
        return Responses.failure(
                requests.nextId(), Failure.of(ResultCode.INTERNAL_ERROR, "the entry failed on this request"));
    }
}

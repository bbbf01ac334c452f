package org.hawthornglade.entry.caller;

import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Translates the HTTP status of an error raised by the HTTP server into a failure. */
final class HttpErrors {
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int SERVER_ERROR = 500;

    private HttpErrors() {}

    static Failure failure(int status) {
        if (status == REQUEST_TIMEOUT) {
            return Failure.of(ResultCode.SLOW_SENDER, "the request did not arrive in time");
        }
        if (status == PAYLOAD_TOO_LARGE) {
            return Failure.of(ResultCode.BODY_TOO_LARGE, "the request is too large");
        }
        if (status >= SERVER_ERROR) {
            return Failure.of(ResultCode.INTERNAL_ERROR, "the entry failed to process this request");
        }
        if (status == NOT_FOUND || status == METHOD_NOT_ALLOWED) {
            return Failure.of(ResultCode.BAD_REQUEST, "there is no such route or method (HTTP status " + status + ")");
        }
        return Failure.of(
                ResultCode.BAD_REQUEST,
                "the request line or the headers are malformed or contradict each other (HTTP status " + status + ")");
    }
}

package org.hawthornglade.app.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.ResultCode;

/**
 * A response of an entry's operator API.
 *
 * @param status the HTTP status
 * @param body the parsed JSON body
 */
record OperatorResponse(int status, JsonNode body) {
    private static final int FIRST_ERROR_STATUS = 400;

    boolean ok() {
        return status < FIRST_ERROR_STATUS;
    }

    /** Returns the result code of an error response; empty if the body has none. */
    Optional<ResultCode> resultCode() {
        return ResultCode.ofNumber(body.path("error").path("code").asInt(-1));
    }

    /** Returns the exit code of the process, which tells whether the request took effect. */
    ExitCode exitCode() {
        if (ok()) {
            return ExitCode.OK;
        }
        boolean notRun =
                resultCode().map(code -> code.execution() == Execution.NOT_RUN).orElse(false);
        return notRun ? ExitCode.REFUSED : ExitCode.UNKNOWN;
    }
}

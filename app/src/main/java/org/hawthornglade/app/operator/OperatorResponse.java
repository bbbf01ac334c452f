package org.hawthornglade.app.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.ResultCode;

/**
 * An entry's answer to an operator.
 *
 * @param status the HTTP status
 * @param body the body
 */
record OperatorResponse(int status, JsonNode body) {
    private static final int FIRST_ERROR_STATUS = 400;

    boolean ok() {
        return status < FIRST_ERROR_STATUS;
    }

    /** Returns the result code of a refusal; empty if the body names none. */
    Optional<ResultCode> resultCode() {
        return ResultCode.ofNumber(body.path("error").path("code").asInt(-1));
    }

    /** Returns what the process ends with: whether what was asked took effect. */
    ExitCode exitCode() {
        if (ok()) {
            return ExitCode.OK;
        }
        boolean notRun =
                resultCode().map(found -> found.execution() == Execution.NOT_RUN).orElse(false);
        return notRun ? ExitCode.REFUSED : ExitCode.UNKNOWN;
    }
}

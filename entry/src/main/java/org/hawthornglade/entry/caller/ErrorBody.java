package org.hawthornglade.entry.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * The error response body that OpenAI-compatible clients expect.
 *
 * @param error its content
 */
public record ErrorBody(Content error) {
    /**
     * The content of an error object.
     *
     * @param message one sentence for a human reader
     * @param type the name of the result code in lower case
     * @param param the invalid parameter of the request; null if the error is not about one parameter
     * @param code the numbered result code
     * @param execution whether the request was run: not_run, run or unknown
     * @param retryAfterMs the time after which to retry, in milliseconds; 0 if none is given
     */
    public record Content(
            String message,
            String type,
            String param,
            int code,
            String execution,
            @JsonProperty("retry_after_ms") long retryAfterMs) {}

    /** Returns the error object for a failure. */
    public static ErrorBody of(Failure failure) {
        ResultCode code = failure.code();
        return new ErrorBody(new Content(
                failure.message(),
                lower(code.name()),
                failure.parameter().orElse(null),
                code.number(),
                lower(code.execution().name()),
                failure.retryAfterMs()));
    }

    private static String lower(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}

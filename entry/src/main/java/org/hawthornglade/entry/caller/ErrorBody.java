package org.hawthornglade.entry.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * The error object that OpenAI-compatible clients expect.
 *
 * @param error its content
 */
public record ErrorBody(Content error) {
    /**
     * The content of an error object.
     *
     * @param message one sentence for a person
     * @param type the kind of error, by its name
     * @param param the parameter of the request that is wrong; null if it is no certain one
     * @param code the numbered result code
     * @param execution whether the request was run: not_run, run or unknown
     * @param retryAfterMs when to come back, in milliseconds; 0 if no time is named
     */
    public record Content(
            String message,
            String type,
            String param,
            int code,
            String execution,
            @JsonProperty("retry_after_ms") long retryAfterMs) {}

    /** Makes the error object of a failure. */
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

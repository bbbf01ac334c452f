package org.hawthornglade.core.result;

import java.util.Objects;
import java.util.Optional;

/**
 * A typed failure: the left side of an {@code Either}.
 *
 * @param code the numbered code
 * @param message a sentence for human readers
 * @param retryAfterMs when to retry, in milliseconds from now; 0 if the code has no retry-after time
 * @param parameter the invalid parameter of the request, if the failure concerns a single one
 */
public record Failure(ResultCode code, String message, long retryAfterMs, Optional<String> parameter) {
    /** Validates the fields. */
    public Failure {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(parameter, "parameter");
        if (retryAfterMs < 0) {
            throw new IllegalArgumentException("retryAfterMs is negative: " + retryAfterMs);
        }
    }

    /** Creates a failure without a retry-after time. */
    public static Failure of(ResultCode code, String message) {
        return new Failure(code, message, 0, Optional.empty());
    }

    /** Creates a failure caused by one invalid parameter of the request. */
    public static Failure ofParameter(String parameter, String message) {
        return new Failure(ResultCode.BAD_REQUEST, message, 0, Optional.of(parameter));
    }

    /** Creates a failure with a retry-after time. */
    public static Failure retryAfter(ResultCode code, String message, long retryAfterMs) {
        return new Failure(code, message, retryAfterMs, Optional.empty());
    }
}

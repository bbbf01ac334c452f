package org.hawthornglade.core.result;

import java.util.Objects;
import java.util.Optional;

/**
 * A typed failure: the left side of an {@code Either}.
 *
 * @param code the numbered code
 * @param message one sentence for a person
 * @param retryAfterMs when to come back, in milliseconds from now; 0 if the code names no time
 * @param parameter the parameter of the request that is wrong, if it is a certain one
 */
public record Failure(ResultCode code, String message, long retryAfterMs, Optional<String> parameter) {
    /** Checks the fields. */
    public Failure {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(parameter, "parameter");
        if (retryAfterMs < 0) {
            throw new IllegalArgumentException("retryAfterMs is negative: " + retryAfterMs);
        }
    }

    /** Makes a failure that names no time to come back. */
    public static Failure of(ResultCode code, String message) {
        return new Failure(code, message, 0, Optional.empty());
    }

    /** Makes a failure for which one parameter of the request is the cause. */
    public static Failure ofParameter(String parameter, String message) {
        return new Failure(ResultCode.BAD_REQUEST, message, 0, Optional.of(parameter));
    }

    /** Makes a failure that names a time to come back. */
    public static Failure retryAfter(ResultCode code, String message, long retryAfterMs) {
        return new Failure(code, message, retryAfterMs, Optional.empty());
    }
}

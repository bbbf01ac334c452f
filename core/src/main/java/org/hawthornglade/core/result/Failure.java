package org.hawthornglade.core.result;

import java.util.Objects;

/**
 * A typed failure: the left side of an {@code Either}.
 *
 * @param code the numbered code
 * @param message one sentence for a person
 * @param retryAfterMs when to come back, in milliseconds from now; 0 if the code names no time
 */
public record Failure(ResultCode code, String message, long retryAfterMs) {
    /** Checks the fields. */
    public Failure {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        if (retryAfterMs < 0) {
            throw new IllegalArgumentException("retryAfterMs is negative: " + retryAfterMs);
        }
    }

    /** Makes a failure that names no time to come back. */
    public static Failure of(ResultCode code, String message) {
        return new Failure(code, message, 0);
    }

    /** Makes a failure that names a time to come back. */
    public static Failure retryAfter(ResultCode code, String message, long retryAfterMs) {
        return new Failure(code, message, retryAfterMs);
    }
}

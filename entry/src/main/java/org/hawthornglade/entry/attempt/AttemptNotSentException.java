package org.hawthornglade.entry.attempt;

import java.io.IOException;

/** Thrown when an agent certainly did not accept an attempt, so that the attempt was not run. */
public final class AttemptNotSentException extends IOException {
    /** Creates the exception with the reason. */
    public AttemptNotSentException(String message) {
        super(message);
    }
}

package org.hawthornglade.entry.attempt;

import java.io.IOException;

/** Tells that an agent certainly did not take an attempt, so that it was not run. */
public final class AttemptNotSentException extends IOException {
    /** Creates the exception with the reason. */
    public AttemptNotSentException(String message) {
        super(message);
    }
}

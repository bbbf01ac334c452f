package org.hawthornglade.entry.attempt;

import java.io.IOException;

/** Tells that an agent turned an attempt away before deciding on it, so that it was not run. */
final class AttemptRejectedException extends IOException {
    private final int status;

    AttemptRejectedException(int status) {
        super("the agent answered with status " + status);
        this.status = status;
    }

    int status() {
        return status;
    }
}

package org.hawthornglade.core.entry;

import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;

/**
 * The outcome of an attempt that ended.
 *
 * @param failure why it failed; null if the whole answer was forwarded to the caller
 * @param execution whether it ran: {@link Execution#NOT_RUN} only if the agent confirmed this or nothing was sent
 * @param answerStarted whether any part of the answer was sent to the caller
 */
public record AttemptOutcome(Failure failure, Execution execution, boolean answerStarted) {
    /** Creates the outcome of an attempt whose whole answer was forwarded. */
    public static AttemptOutcome complete() {
        return new AttemptOutcome(null, Execution.RUN, true);
    }

    /** Creates the outcome of an attempt that certainly did not run. */
    public static AttemptOutcome notRun(Failure failure) {
        return new AttemptOutcome(failure, Execution.NOT_RUN, false);
    }

    /** Creates the outcome of an attempt that may have run. */
    public static AttemptOutcome unknown(Failure failure, boolean answerStarted) {
        return new AttemptOutcome(failure, Execution.UNKNOWN, answerStarted);
    }

    public boolean isComplete() {
        return failure == null;
    }
}

package org.hawthornglade.core.entry;

import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;

/**
 * How an attempt ended.
 *
 * @param failure why it failed; null if the whole answer was passed on
 * @param execution whether it ran: {@link Execution#NOT_RUN} only if the agent vouches for it or nothing was sent
 * @param answerStarted whether the caller has been sent any part of the answer
 */
public record AttemptOutcome(Failure failure, Execution execution, boolean answerStarted) {
    /** The whole answer was passed on. */
    public static AttemptOutcome complete() {
        return new AttemptOutcome(null, Execution.RUN, true);
    }

    /** The attempt was certainly not run. */
    public static AttemptOutcome notRun(Failure failure) {
        return new AttemptOutcome(failure, Execution.NOT_RUN, false);
    }

    /** The attempt may have been run. */
    public static AttemptOutcome unknown(Failure failure, boolean answerBegun) {
        return new AttemptOutcome(failure, Execution.UNKNOWN, answerBegun);
    }

    public boolean isComplete() {
        return failure == null;
    }
}

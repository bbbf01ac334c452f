package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import org.hawthornglade.core.result.Failure;

/**
 * The decision on one claim of a group.
 *
 * @param result the result that {@link Claims#claim} returns
 * @param mayHoldRow whether the row may have been written for this request although the result is a failure
 */
record ClaimDecision(Either<Failure, ClaimResult> result, boolean mayHoldRow) {
    static ClaimDecision of(ClaimResult result) {
        return new ClaimDecision(Either.right(result), false);
    }

    static ClaimDecision refused(Failure failure, boolean mayHoldRow) {
        return new ClaimDecision(Either.left(failure), mayHoldRow);
    }

    /** Returns whether the row may have to be released if the request no longer waits for the result. */
    boolean mayLeaveRow() {
        return mayHoldRow || (result.isRight() && result.get() instanceof ClaimResult.Taken);
    }
}

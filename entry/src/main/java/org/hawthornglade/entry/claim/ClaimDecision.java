package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import org.hawthornglade.core.result.Failure;

/**
 * What came of one try within a group.
 *
 * @param result as {@link Claims#claim} returns it
 * @param mayHoldRow whether the row may be written for this request though the result is a failure
 */
record ClaimDecision(Either<Failure, ClaimResult> result, boolean mayHoldRow) {
    static ClaimDecision of(ClaimResult result) {
        return new ClaimDecision(Either.right(result), false);
    }

    static ClaimDecision refused(Failure failure, boolean mayBeHeld) {
        return new ClaimDecision(Either.left(failure), mayBeHeld);
    }

    /** Returns whether a row has to be given back if nobody uses the result. */
    boolean mayLeaveRow() {
        return mayHoldRow || (result.isRight() && result.get() instanceof ClaimResult.Taken);
    }
}

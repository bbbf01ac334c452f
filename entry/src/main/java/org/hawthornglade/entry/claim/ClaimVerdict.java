package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import org.hawthornglade.core.result.Failure;

/**
 * What came of one try within a group.
 *
 * @param result as {@link Claims#claim} returns it
 * @param mayBeHeld whether the row may be written for this request though the result is a failure
 */
record ClaimVerdict(Either<Failure, ClaimResult> result, boolean mayBeHeld) {
    static ClaimVerdict of(ClaimResult result) {
        return new ClaimVerdict(Either.right(result), false);
    }

    static ClaimVerdict refused(Failure failure, boolean mayBeHeld) {
        return new ClaimVerdict(Either.left(failure), mayBeHeld);
    }

    /** Returns whether a row has to be given back if nobody uses the result. */
    boolean leavesRow() {
        return mayBeHeld || (result.isRight() && result.get() instanceof ClaimResult.Taken);
    }
}

package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;

/** Claims on calls that may run at most once. Calls block. */
public interface Claims {
    /**
     * Claims a call for a request, before its first byte is sent.
     *
     * @return left if it is not certain that the claim is this request's: the call must not be sent
     */
    Either<Failure, ClaimResult> claim(ClaimKey key, RequestId request);

    /** Records the answer of a call that was run; a failure leaves the claim as it is, which is safe. */
    Either<Failure, Boolean> done(ClaimKey key, RequestId request, RecordedAnswer answer);

    /** Gives up the claim on a call that was certainly not run; a failure leaves the claim as it is. */
    Either<Failure, Boolean> notRun(ClaimKey key, RequestId request);
}

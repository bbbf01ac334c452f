package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hawthornglade.core.result.Failure;

/**
 * Takes and settles claims on calls that may run at most once.
 *
 * <p>Safe for use by several threads.
 */
public interface Claims {
    /**
     * Claims a call for a request, before the first byte of the call is sent. Blocks until the claim is decided, the
     * deadline of the request has passed or the time limit for a claim has expired.
     *
     * @return left with CLAIM_NOT_POSSIBLE or IDEMPOTENCY_KEY_REUSED if the call must not be sent
     * @throws InterruptedException if the waiting thread is interrupted; the claim is released
     */
    Either<Failure, ClaimResult> claim(ClaimRequest claim) throws InterruptedException;

    /**
     * Records the outcome of a claimed call without blocking. Until then the claim stays taken, which is safe.
     *
     * @return a future that completes with true when the outcome is recorded
     */
    CompletableFuture<Boolean> settle(Settlement settlement);
}

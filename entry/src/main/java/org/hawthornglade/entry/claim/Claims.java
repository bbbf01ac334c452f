package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hawthornglade.core.result.Failure;

/**
 * Claims on calls that may run at most once.
 *
 * <p>Safe for use by several threads.
 */
public interface Claims {
    /**
     * Claims a call for a request, before its first byte is sent. Blocks until the claim is decided, the request's
     * deadline has passed or the limit for a claim is over.
     *
     * @return left with CLAIM_NOT_POSSIBLE or IDEMPOTENCY_KEY_REUSED if the call must not be sent
     * @throws InterruptedException if the waiting thread is interrupted; the claim is given back
     */
    Either<Failure, ClaimResult> claim(ClaimRequest claim) throws InterruptedException;

    /**
     * Records how a claimed call ended. Does not block; until it is recorded the claim stays as it is, which is safe.
     *
     * @return completes with true when it is recorded
     */
    CompletableFuture<Boolean> settle(Settlement settlement);
}

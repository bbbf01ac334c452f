package org.hawthornglade.entry.claim;

import java.util.concurrent.CompletableFuture;

/**
 * A try that waits for its verdict.
 *
 * @param claim the try
 * @param verdict completed by the writer; cancelled when the request no longer waits
 */
record PendingClaim(ClaimTry claim, CompletableFuture<ClaimVerdict> verdict) {
    static PendingClaim of(ClaimTry claim) {
        return new PendingClaim(claim, new CompletableFuture<>());
    }
}

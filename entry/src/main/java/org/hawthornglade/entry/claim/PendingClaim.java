package org.hawthornglade.entry.claim;

import java.util.concurrent.CompletableFuture;

/**
 * A try that waits for its verdict.
 *
 * @param claim the try
 * @param decision completed by the writer; cancelled when the request no longer waits
 */
record PendingClaim(ClaimRequest claim, CompletableFuture<ClaimDecision> decision) {
    static PendingClaim of(ClaimRequest claim) {
        return new PendingClaim(claim, new CompletableFuture<>());
    }
}

package org.hawthornglade.entry.claim;

import java.util.concurrent.CompletableFuture;

/**
 * A claim request that waits for its decision.
 *
 * @param claim the request
 * @param decision completed by a writer thread; cancelled when the caller's request no longer waits
 */
record PendingClaim(ClaimRequest claim, CompletableFuture<ClaimDecision> decision) {
    static PendingClaim of(ClaimRequest claim) {
        return new PendingClaim(claim, new CompletableFuture<>());
    }
}

package org.hawthornglade.entry.claim;

/** The result of an attempt to claim a call. */
public sealed interface ClaimResult {
    /** This request holds the claim and may send the call. */
    record Taken() implements ClaimResult {}

    /** Another request holds the claim, or held it until the call ended. */
    record HeldByOther(Claim claim) implements ClaimResult {}
}

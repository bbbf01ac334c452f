package org.hawthornglade.entry.claim;

/** What came of the try to claim a call. */
public sealed interface ClaimResult {
    /** The claim is this request's: it may send the call. */
    record Taken() implements ClaimResult {}

    /** Another request holds the claim, or has held it to the call's end. */
    record HeldByOther(Claim claim) implements ClaimResult {}
}

package org.hawthornglade.core.lease;

import org.hawthornglade.core.store.StoreRevision;

/**
 * The number by which engines tell a leader from the one that follows it.
 *
 * <p>It is made of the transaction by which a leader won its lease. No other leader wins by the same transaction, and a
 * store that was restored has a higher era, so tokens rise even if the row of a lease was lost.
 *
 * @param value the number that is sent with orders
 */
public record FencingToken(long value) {
    /** Bits for the version of a transaction; enough for 1,000 transactions a second over 30 years. */
    private static final int REVISION_BITS = 40;

    /** Returns the token of the leader whose claim was written with a revision. */
    static FencingToken of(StoreRevision claim) {
        return new FencingToken(
                Math.addExact(Math.multiplyExact(claim.era().number(), 1L << REVISION_BITS), claim.number()));
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}

package org.hawthornglade.core.lease;

import org.hawthornglade.core.store.StoreEra;

/**
 * The row in the store by which entries agree on the placement leader.
 *
 * @param holder the name of the entry that leads or was the last to lead
 * @param address the address at which entries reach it, as {@code HOST:PORT}
 * @param token the fencing token of the holder; until the first renewal a lower bound of it
 * @param nonce a unique id of one process, so that a restarted entry does not mistake its predecessor's lease for its
 *     own
 * @param renewals the number of renewals, so that each renewal changes the row
 * @param released whether the holder has released the lease
 * @param era the era of the store in which the holder has claimed the lease
 * @param quotaHolders which entries may use quotas without a leader; empty if unknown
 */
public record LeaseRow(
        String holder,
        String address,
        long token,
        String nonce,
        long renewals,
        boolean released,
        StoreEra era,
        String quotaHolders) {
    /** Creates a row that does not tell which entries may use quotas. */
    public LeaseRow(
            String holder, String address, long token, String nonce, long renewals, boolean released, StoreEra era) {
        this(holder, address, token, nonce, renewals, released, era, "");
    }

    /** Returns the row with other entries that may use quotas. */
    public LeaseRow withQuotaHolders(String holders) {
        return new LeaseRow(holder, address, token, nonce, renewals, released, era, holders);
    }

    /** Returns the row after another renewal, with the holder's token. */
    LeaseRow renewed(FencingToken holderToken) {
        return new LeaseRow(holder, address, holderToken.value(), nonce, renewals + 1, false, era, quotaHolders);
    }

    /** Returns the row after its release by the holder. */
    LeaseRow release() {
        return new LeaseRow(holder, address, token, nonce, renewals + 1, true, era, quotaHolders);
    }
}

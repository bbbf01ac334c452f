package org.hawthornglade.core.lease;

/**
 * The row in the store by which entries agree on the placement leader.
 *
 * @param holder the name of the entry that leads or was the last to lead
 * @param address the address at which entries reach it, as {@code HOST:PORT}
 * @param token the fencing token, higher with each holder
 * @param nonce a unique id of one process, so that a restarted entry does not mistake its predecessor's lease for its
 *     own
 * @param renewals the number of renewals, so that each renewal changes the row
 * @param released whether the holder has released the lease
 */
public record LeaseRow(String holder, String address, long token, String nonce, long renewals, boolean released) {
    /** Returns the row after another renewal. */
    LeaseRow renewed() {
        return new LeaseRow(holder, address, token, nonce, renewals + 1, false);
    }

    /** Returns the row after its release by the holder. */
    LeaseRow release() {
        return new LeaseRow(holder, address, token, nonce, renewals + 1, true);
    }
}

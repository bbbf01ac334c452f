package org.hawthornglade.core.lease;

/**
 * The one row by which entries agree on the placement leader.
 *
 * @param holder the name of the entry that leads or led last
 * @param address where entries reach it, as {@code HOST:PORT}
 * @param token the fencing token, higher with each holder
 * @param nonce names one process, so that a restarted entry does not take its predecessor's lease for its own
 * @param renewals counts the renewals, so that each is a change
 * @param released whether the holder has given it up
 */
public record LeaseRow(String holder, String address, long token, String nonce, long renewals, boolean released) {
    /** Returns the row after one more renewal. */
    LeaseRow renewed() {
        return new LeaseRow(holder, address, token, nonce, renewals + 1, false);
    }

    /** Returns the row after its holder has given up. */
    LeaseRow release() {
        return new LeaseRow(holder, address, token, nonce, renewals + 1, true);
    }
}

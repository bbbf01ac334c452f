package org.hawthornglade.core.lease;

/** Why an entry considers the lease free. */
public enum ClaimReason {
    /** The row does not exist or is unreadable. */
    NO_ROW,
    /** The holder has released the lease. */
    RELEASED,
    /** The holder was an earlier process of the same entry. */
    EARLIER_PROCESS,
    /** The holder's host refuses connections to the holder's port. */
    CONNECTION_REFUSED,
    /** The row was unchanged for longer than the lease. */
    EXPIRED,
    /** The entry leads, and a restore of the store may have lost its row. */
    STORE_RESTORED
}

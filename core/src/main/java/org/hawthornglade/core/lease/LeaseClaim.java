package org.hawthornglade.core.lease;

/**
 * A claim of the lease.
 *
 * @param write the write by which the lease is claimed
 * @param reason why the lease is considered free
 * @param replaced the row that the claim replaces, as it was read
 * @param unchangedMs how long the row was observed without a change, in milliseconds
 */
public record LeaseClaim(LeaseWrite write, ClaimReason reason, StoredLease replaced, long unchangedMs) {}

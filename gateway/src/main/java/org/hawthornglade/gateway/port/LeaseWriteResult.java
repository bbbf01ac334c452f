package org.hawthornglade.gateway.port;

import org.hawthornglade.core.lease.StoredLease;

/** How a conditional write of the lease row ended. */
public sealed interface LeaseWriteResult {
    /**
     * It was written.
     *
     * @param revision the row's new revision
     */
    record Written(long revision) implements LeaseWriteResult {}

    /**
     * The row was another one.
     *
     * @param stored the row as it is
     */
    record Conflict(StoredLease stored) implements LeaseWriteResult {}

    /**
     * It is not known whether it was written, or will be.
     *
     * @param reason what was seen
     */
    record Unknown(String reason) implements LeaseWriteResult {}
}

package org.hawthornglade.gateway.port;

import org.hawthornglade.core.lease.StoredLease;
import org.hawthornglade.core.store.StoreRevision;

/** The outcome of a conditional write of the lease row. */
public sealed interface LeaseWriteResult {
    /**
     * The row was written.
     *
     * @param revision the row's new revision
     */
    record Written(StoreRevision revision) implements LeaseWriteResult {}

    /**
     * The row had another revision.
     *
     * @param stored the current row
     */
    record Conflict(StoredLease stored) implements LeaseWriteResult {}

    /**
     * It is unknown whether the row was written or still will be.
     *
     * @param reason the observed failure
     */
    record Unknown(String reason) implements LeaseWriteResult {}
}

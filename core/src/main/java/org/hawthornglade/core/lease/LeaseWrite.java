package org.hawthornglade.core.lease;

import org.hawthornglade.core.store.StoreRevision;

/**
 * A conditional write of the lease row.
 *
 * @param expected the revision that the row must have; its number is 0 if the row must not exist
 * @param row the new row
 */
public record LeaseWrite(StoreRevision expected, LeaseRow row) {}

package org.hawthornglade.core.lease;

/**
 * A conditional write of the lease row.
 *
 * @param expectedRevision the revision that the row must have; 0 if the row must not exist
 * @param row the new row
 */
public record LeaseWrite(long expectedRevision, LeaseRow row) {}

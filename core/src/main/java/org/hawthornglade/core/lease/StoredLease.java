package org.hawthornglade.core.lease;

import java.util.Optional;

/**
 * The lease row as stored.
 *
 * @param revision the row's revision; 0 if the row does not exist
 * @param row the row; empty if it does not exist or is unreadable
 */
public record StoredLease(long revision, Optional<LeaseRow> row) {}

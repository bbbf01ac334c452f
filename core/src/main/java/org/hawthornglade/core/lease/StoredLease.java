package org.hawthornglade.core.lease;

import java.util.Optional;
import org.hawthornglade.core.store.StoreRevision;

/**
 * The lease row as stored.
 *
 * @param revision the row's revision, in the era in which it was read; its number is 0 if the row does not exist
 * @param row the row; empty if it does not exist or is unreadable
 */
public record StoredLease(StoreRevision revision, Optional<LeaseRow> row) {}

package org.hawthornglade.core.lease;

import java.util.Optional;

/**
 * The lease row as the store has it.
 *
 * @param revision the row's revision; 0 if there is none
 * @param row the row, if there is one that can be read
 */
public record StoredLease(long revision, Optional<LeaseRow> row) {}

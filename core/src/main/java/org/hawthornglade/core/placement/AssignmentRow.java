package org.hawthornglade.core.placement;

import org.hawthornglade.core.assignment.Assignment;

/**
 * An assignment as it was read from its row.
 *
 * @param assignment the assignment
 * @param revision the revision of its row
 */
public record AssignmentRow(Assignment assignment, long revision) {}

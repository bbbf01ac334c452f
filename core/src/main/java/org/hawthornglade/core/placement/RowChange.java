package org.hawthornglade.core.placement;

import org.hawthornglade.core.assignment.Assignment;

/**
 * A change of an assignment row, to be written only if the row is still as it was read.
 *
 * @param kind the kind of change
 * @param assignment the new value; for {@link Kind#DELETE} the old one
 * @param revision the revision that the row must have; 0 if it must be absent
 * @param reason the reason for the change, in a few words
 */
public record RowChange(Kind kind, Assignment assignment, long revision, String reason) {
    /** The kinds of changes to a row. */
    public enum Kind {
        INSERT,
        RELEASE,
        MOVE,
        DELETE
    }
}

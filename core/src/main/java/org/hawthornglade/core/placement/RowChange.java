package org.hawthornglade.core.placement;

import org.hawthornglade.core.assignment.Assignment;

/**
 * One change of an assignment row, to be written only if the row is still as it was read.
 *
 * @param kind what to do
 * @param assignment the new value; for {@link Kind#DELETE} the old one
 * @param revision the revision that the row must have; 0 if it must be absent
 * @param reason why, in a few words
 */
public record RowChange(Kind kind, Assignment assignment, long revision, String reason) {
    /** What is done to the row. */
    public enum Kind {
        INSERT,
        RELEASE,
        MOVE,
        DELETE
    }
}

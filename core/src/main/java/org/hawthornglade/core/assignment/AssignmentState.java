package org.hawthornglade.core.assignment;

/** The states of an assignment row. */
public enum AssignmentState {
    /** The holder may load the replica. */
    HELD,
    /** The holder is asked to unload the replica and give the row up. */
    RELEASING,
    /** The holder vouches that its engine no longer has the replica and that it will not load it again. */
    RELEASED
}

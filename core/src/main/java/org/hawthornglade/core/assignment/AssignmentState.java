package org.hawthornglade.core.assignment;

/** The states of an assignment row. */
public enum AssignmentState {
    /** The holder may load the replica. */
    HELD,
    /** The holder is requested to unload the replica and release the row. */
    RELEASING,
    /** The holder guarantees that its engine no longer has the replica and that it will not load it again. */
    RELEASED
}

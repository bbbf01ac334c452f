package org.hawthornglade.core.placement;

/** Whether an instance may be given replicas, and whether its rows may be taken away. */
public enum Availability {
    /** Listed as live, and its agent answers: may be given rows. */
    AVAILABLE,
    /** Listed, but its agent has not been heard: keeps its rows, gets none. */
    SILENT,
    /** Leaving or draining: is asked to release its rows, gets none. */
    LEAVING,
    /** Listed as gone for good: its rows may move. An instance that is merely not listed is not gone. */
    GONE
}

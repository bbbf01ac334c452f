package org.hawthornglade.core.placement;

/** Whether replicas may be assigned to an instance, and whether its rows may be moved to others. */
public enum Availability {
    /** Listed as live, and its agent answers: rows may be assigned to it. */
    AVAILABLE,
    /** Listed, but its agent has not reported: keeps its rows and gets no others. */
    SILENT,
    /** Leaving or draining: has to release its rows and gets no others. */
    LEAVING,
    /**
     * Listed as permanently gone: its rows may be moved. An instance that is merely not listed does not count as gone.
     */
    GONE
}

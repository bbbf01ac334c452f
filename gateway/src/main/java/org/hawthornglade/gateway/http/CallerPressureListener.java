package org.hawthornglade.gateway.http;

/** Receives which connections are closed because callers' connections hold too much. */
public interface CallerPressureListener {
    /** Ignores everything. */
    CallerPressureListener NONE = (cause, held, limit) -> {};

    /**
     * A connection is closed.
     *
     * @param cause the limit that was reached, as in the names of counters
     * @param held what all connections held before, in the unit of the limit
     * @param limit the limit
     */
    void onClosed(String cause, long held, long limit);
}

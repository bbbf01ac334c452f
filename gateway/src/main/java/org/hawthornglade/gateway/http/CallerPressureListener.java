package org.hawthornglade.gateway.http;

/** Receives which connections are closed, and which requests are refused, for the limits on callers' connections. */
public interface CallerPressureListener {
    /** Ignores everything. */
    CallerPressureListener NONE = new CallerPressureListener() {
        @Override
        public void onClosed(String cause, long held, long limit) {}

        @Override
        public void onRefused(String cause, int status, long limit) {}
    };

    /**
     * A connection is closed.
     *
     * @param cause the limit that was reached, as in the names of counters
     * @param held what all connections held before, in the unit of the limit
     * @param limit the limit
     */
    void onClosed(String cause, long held, long limit);

    /**
     * A request is refused before it is complete.
     *
     * @param cause the limit that was reached, as in the names of counters
     * @param status the status of the response
     * @param limit the limit
     */
    void onRefused(String cause, int status, long limit);
}

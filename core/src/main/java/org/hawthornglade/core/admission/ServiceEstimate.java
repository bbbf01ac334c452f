package org.hawthornglade.core.admission;

/**
 * What an entry expects of a model's replicas, for predicting when a request would be answered.
 *
 * @param readyInMs until a replica can start a request, in milliseconds; 0 if one is loaded
 * @param serviceMs how long a replica runs one request, in milliseconds; above 0
 * @param slots how many requests the expected replicas run at once; above 0
 * @param busySlots how many of them are taken
 */
public record ServiceEstimate(long readyInMs, long serviceMs, int slots, int busySlots) {
    /** Checks the fields. */
    public ServiceEstimate {
        if (readyInMs < 0 || serviceMs <= 0 || slots <= 0 || busySlots < 0) {
            throw new IllegalArgumentException("not an estimate: readyInMs=" + readyInMs + " serviceMs=" + serviceMs
                    + " slots=" + slots + " busySlots=" + busySlots);
        }
    }

    /**
     * Predicts when a request is answered that waits behind others.
     *
     * @param ahead how many waiting requests are dispatched before it
     * @return milliseconds from now until its answer is whole
     */
    public long completionInMs(int ahead) {
        long turn = (long) ahead + busySlots;
        if (turn < slots) {
            return readyInMs + serviceMs;
        }
        // Requests finish one every serviceMs / slots on average.
        return readyInMs + serviceMs + (turn - slots + 1) * serviceMs / slots;
    }
}

package org.hawthornglade.core.admission;

/**
 * The expected capacity of a model's replicas, from which an entry predicts when a request would be answered.
 *
 * @param readyInMs the time until a replica can start a request, in milliseconds; 0 if one is loaded
 * @param serviceMs how long a replica runs one request, in milliseconds; above 0
 * @param slots how many requests the expected replicas run concurrently; above 0
 * @param busySlots how many of these slots are in use
 */
public record ServiceEstimate(long readyInMs, long serviceMs, int slots, int busySlots) {
    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException if a field is out of range
     */
    public ServiceEstimate {
        if (readyInMs < 0 || serviceMs <= 0 || slots <= 0 || busySlots < 0) {
            throw new IllegalArgumentException("invalid service estimate: readyInMs=" + readyInMs + " serviceMs="
                    + serviceMs + " slots=" + slots + " busySlots=" + busySlots);
        }
    }

    /**
     * Predicts when a request that waits behind others is answered.
     *
     * @param ahead how many waiting requests are dispatched before it
     * @return the time until its answer is complete, in milliseconds
     */
    public long completionInMs(int ahead) {
        long position = (long) ahead + busySlots;
        if (position < slots) {
            return readyInMs + serviceMs;
        }
        // On average one request finishes every serviceMs / slots.
        return readyInMs + serviceMs + (position - slots + 1) * serviceMs / slots;
    }
}

package org.hawthornglade.core.load;

/** How many loads from the weight store an instance keeps in flight. Calls must not overlap. */
public interface LoadConcurrency {
    /**
     * Tells whether one more load may start.
     *
     * @param inFlight how many loads run
     * @param nowMs the time now in milliseconds
     */
    boolean mayStart(int inFlight, long nowMs);

    /**
     * Takes note of a load that ended well.
     *
     * @param memoryMb its size, in MiB
     * @param durationMs how long it took, in milliseconds
     * @param inFlight how many loads ran while it did, itself included
     * @param nowMs the time now in milliseconds
     */
    void onCompleted(int memoryMb, long durationMs, int inFlight, long nowMs);

    /**
     * Takes note of a refusal by the store's rate limit.
     *
     * @param retryAfterMs when the store said to come back, in milliseconds from now; 0 if it did not say
     * @param nowMs the time now in milliseconds
     */
    void onRateLimited(long retryAfterMs, long nowMs);
}

package org.hawthornglade.core.load;

/** Limits the loads from the weight store that an instance keeps in flight. Calls must not overlap. */
public interface LoadConcurrency {
    /**
     * Returns whether one more load may start.
     *
     * @param inFlight how many loads are running
     * @param nowMs the current time in milliseconds
     */
    boolean mayStart(int inFlight, long nowMs);

    /**
     * Records a load that completed successfully.
     *
     * @param memoryMb the size of the load, in MiB
     * @param durationMs how long it took, in milliseconds
     * @param inFlight how many loads ran at the same time, itself included
     * @param nowMs the current time in milliseconds
     */
    void onCompleted(int memoryMb, long durationMs, int inFlight, long nowMs);

    /**
     * Records a rejection by the rate limit of the store.
     *
     * @param retryAfterMs the retry-after time that the store gave, in milliseconds from now; 0 if it gave none
     * @param nowMs the current time in milliseconds
     */
    void onRateLimited(long retryAfterMs, long nowMs);
}

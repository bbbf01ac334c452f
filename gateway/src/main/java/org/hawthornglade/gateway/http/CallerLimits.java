package org.hawthornglade.gateway.http;

/**
 * Limits on what callers' connections may hold, which no client reaches that keeps to the request limits.
 *
 * @param maxConnections the most connections that a listener keeps open; 0 derives it from the descriptor limit
 * @param maxHeaderFields the most header fields of a request
 * @param maxPipelinedRequests the most requests of a connection that wait for the response to the one before
 * @param maxHeadsBytes the estimated heap for the heads of all requests that are incomplete or queued; 0 derives it
 *     from the maximum heap
 * @param unreadTimeoutMs the time after which a connection is closed whose caller reads no byte of its responses
 * @param minBodyBytesPerS the rate at which a body above 64 KiB must arrive; 0 for none
 * @param maxDescriptors the descriptors that the process may open; 0 for the limit of the system
 */
public record CallerLimits(
        int maxConnections,
        int maxHeaderFields,
        int maxPipelinedRequests,
        long maxHeadsBytes,
        long unreadTimeoutMs,
        long minBodyBytesPerS,
        int maxDescriptors) {
    /** The most fields, of one letter and no value, that a head of 16,384 bytes can hold. */
    private static final int MOST_LEGAL_HEADER_FIELDS = 4_096;

    /** The limits of settings that state none. */
    public static final CallerLimits DEFAULT = new CallerLimits(0, MOST_LEGAL_HEADER_FIELDS, 8, 0, 15_000, 0, 0);

    /** The share of the heap that heads may take. */
    private static final int HEADS_HEAP_DIVISOR = 6;

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException naming the limit that is out of range
     */
    public CallerLimits {
        requireRange("maxConnections", maxConnections, 0, 1_000_000);
        requireRange("maxHeaderFields", maxHeaderFields, 16, 10_000);
        requireRange("maxPipelinedRequests", maxPipelinedRequests, 1, 1_000);
        requireRange("maxHeadsBytes", maxHeadsBytes, 0, Long.MAX_VALUE);
        requireRange("unreadTimeoutMs", unreadTimeoutMs, 1_000, 600_000);
        requireRange("minBodyBytesPerS", minBodyBytesPerS, 0, 1_000_000_000);
        requireRange("maxDescriptors", maxDescriptors, 0, 100_000_000);
    }

    private static void requireRange(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " is not within " + min + " to " + max);
        }
    }

    /** Returns the estimated heap that all incomplete or queued heads may take, in bytes. */
    long headsBytes() {
        return maxHeadsBytes > 0 ? maxHeadsBytes : Runtime.getRuntime().maxMemory() / HEADS_HEAP_DIVISOR;
    }
}

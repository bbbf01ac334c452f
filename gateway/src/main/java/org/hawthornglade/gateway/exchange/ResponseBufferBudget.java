package org.hawthornglade.gateway.exchange;

/**
 * Limits the memory for responses, and for events, that are buffered until they are complete.
 *
 * <p>Used on the event loop only.
 */
public final class ResponseBufferBudget {
    /** Responses up to this size are forwarded only when they are complete. */
    static final int MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;
    /** The largest event of a stream. */
    static final int MAX_EVENT_BYTES = 262_144;
    /** Limit for the partial events of all streams together. */
    static final long MAX_PARTIAL_EVENTS_BYTES = 8_388_608;
    /** The largest response that neither states its length nor is a stream of events. */
    static final long MAX_UNSIZED_RESPONSE_BYTES = 16_777_216;
    /** Limit for all buffered responses of an entry together. */
    private static final long MAX_TOTAL_BYTES = 8_388_608;

    private long reservedBytes;
    private long partialEventBytes;

    /**
     * Reserves memory for a piece of a response.
     *
     * @param bufferedBytes the bytes of the same response that are already buffered
     * @return whether the memory was available; nothing is reserved if not
     */
    boolean tryReserve(int bufferedBytes, int bytes) {
        if (bufferedBytes + bytes > MAX_BUFFERED_RESPONSE_BYTES || reservedBytes + bytes > MAX_TOTAL_BYTES) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /**
     * Changes the memory that a stream has reserved for the part of an event that has arrived.
     *
     * @param fromBytes what it has reserved
     * @param toBytes what it needs now
     * @return whether the memory was available; nothing is changed if not
     */
    boolean tryHoldPartialEvent(int fromBytes, int toBytes) {
        long total = partialEventBytes - fromBytes + toBytes;
        if (toBytes > MAX_EVENT_BYTES || (toBytes > fromBytes && total > MAX_PARTIAL_EVENTS_BYTES)) {
            return false;
        }
        partialEventBytes = total;
        return true;
    }

    /** Releases the memory that a stream has reserved for a part of an event. */
    void releasePartialEvent(int bytes) {
        partialEventBytes -= bytes;
    }

    /** Releases the memory that a response has reserved. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** Returns the number of bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes;
    }
}

package org.hawthornglade.gateway.exchange;

/** Limits the memory for responses that are buffered until they are complete; used on the event loop only. */
public final class ResponseBufferBudget {
    /** Responses up to this size are forwarded only when they are complete. */
    static final int MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;
    /** The largest event of a stream. */
    static final int MAX_EVENT_BYTES = 262_144;
    /** The largest response that neither states its length nor is a stream of events. */
    static final long MAX_UNSIZED_RESPONSE_BYTES = 16_777_216;
    /** Limit for all buffered responses of an entry together. */
    private static final long MAX_TOTAL_BYTES = 8_388_608;

    private long reservedBytes;

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

    /** Releases the memory that a response has reserved. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** Returns the number of bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes;
    }
}

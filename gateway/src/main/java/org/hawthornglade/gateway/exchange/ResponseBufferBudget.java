package org.hawthornglade.gateway.exchange;

/** The memory for answers that are kept until they are whole; used on the event loop only. */
public final class ResponseBufferBudget {
    /** Answers up to this size are passed on only when they are whole. */
    static final int MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;
    /** The largest event of a stream. */
    static final int MAX_EVENT_BYTES = 262_144;
    /** The largest answer that neither states its length nor is a stream of events. */
    static final long MAX_UNSIZED_RESPONSE_BYTES = 16_777_216;
    /** What all open answers of an entry may hold together. */
    private static final long MAX_TOTAL_BYTES = 8_388_608;

    private long reservedBytes;

    /**
     * Reserves room for a piece of an answer.
     *
     * @param heldBefore the bytes of the same answer that are held already
     * @return whether there is room; nothing is reserved if not
     */
    boolean tryReserve(int heldBefore, int bytes) {
        if (heldBefore + bytes > MAX_BUFFERED_RESPONSE_BYTES || reservedBytes + bytes > MAX_TOTAL_BYTES) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Gives back what an answer has reserved. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** Returns what is reserved now. */
    public long reservedBytes() {
        return reservedBytes;
    }
}

package org.hawthornglade.gateway.memory;

/** The memory that one body has reserved, from its first byte to the end of its call. */
public final class BodyReservation {
    private final RequestBodyBudget budget;
    private final long maxBytes;
    private final boolean sized;
    private final BodyReader reader;
    private long receivedBytes;
    private long reservedBytes;
    private long earlyBytes;
    private boolean large;
    private boolean waiting;
    private long waitingSinceMs;
    private long waitedMs;
    private boolean ended;

    BodyReservation(RequestBodyBudget budget, long maxBytes, boolean sized, BodyReader reader) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.sized = sized;
        this.reader = reader;
    }

    /** Reserves memory for bytes that have arrived; returns whether it was available. */
    public boolean tryReceive(int bytes) {
        return budget.tryReceive(this, bytes);
    }

    /** Reserves memory for the next read; if it is not available, the reader is told later to go on. */
    public boolean tryReadOn() {
        return budget.tryReadOn(this);
    }

    /** Keeps only what the complete body needs. */
    public void complete() {
        budget.complete(this);
    }

    /** Releases the memory, because the call has ended or the body is not read to its end. */
    public void release() {
        if (!ended) {
            ended = true;
            budget.release(this);
        }
    }

    /** Returns whether the body is not read on for now. */
    public boolean waiting() {
        return waiting;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }

    long earlyBytes() {
        return earlyBytes;
    }

    boolean large() {
        return large;
    }

    BodyReader reader() {
        return reader;
    }

    /** Returns what is lacking for one more read. */
    long bytesForNextRead() {
        return Math.min(receivedBytes + RequestBodyBudget.MAX_READ_BYTES, maxBytes) - reservedBytes;
    }

    /** Returns what is lacking up to the end, or for one more read if the end is not known. */
    long bytesToEnd() {
        return sized ? maxBytes - reservedBytes : bytesForNextRead();
    }

    /** Returns whether the body waits, and has waited for this long in all since it began. */
    boolean hasWaited(long durationMs, long nowMs) {
        return waiting && waitedMs + nowMs - waitingSinceMs >= durationMs;
    }

    void setLarge() {
        large = true;
    }

    void addReceived(int bytes) {
        receivedBytes += bytes;
    }

    void setReserved(long bytes) {
        reservedBytes = bytes;
    }

    void setEarly(long bytes) {
        earlyBytes = bytes;
    }

    void startWaiting(long nowMs) {
        waiting = true;
        waitingSinceMs = nowMs;
    }

    void stopWaiting(long nowMs) {
        waiting = false;
        waitedMs += nowMs - waitingSinceMs;
    }
}

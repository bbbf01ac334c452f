package org.hawthornglade.gateway.memory;

import org.hawthornglade.gateway.log.EventLog;

/** The memory of an entry for one kind of buffered bytes; used on the event loop only. */
public final class MemoryShare {
    private final String name;
    private final long maxBytes;
    private final EventLog log;
    private long reservedBytes;

    /**
     * Creates a share of which nothing is reserved.
     *
     * @param name the kind of bytes, for the log
     * @param maxBytes the limit for all of them together
     */
    public MemoryShare(String name, long maxBytes, EventLog log) {
        this.name = name;
        this.maxBytes = maxBytes;
        this.log = log;
    }

    /** Reserves memory; returns whether it was available. */
    public boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            log.event("memory-refused")
                    .with("share", name)
                    .with("bytes", bytes)
                    .with("reserved", reservedBytes)
                    .write();
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases memory that was reserved. */
    public void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Returns the number of bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes;
    }
}

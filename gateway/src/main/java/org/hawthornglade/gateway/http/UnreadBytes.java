package org.hawthornglade.gateway.http;

/** The bytes of responses that a caller has not read, and since when it has read none of them. */
final class UnreadBytes {
    private long bytes;
    private long sinceMs;

    /** Takes over how many bytes are pending; returns them. */
    long onChecked(long pendingBytes, long nowMs) {
        if (pendingBytes == 0 || pendingBytes < bytes || bytes == 0) {
            sinceMs = nowMs;
        }
        bytes = pendingBytes;
        return pendingBytes;
    }

    long sinceMs() {
        return sinceMs;
    }
}

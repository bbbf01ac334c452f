package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the heap for heads of requests that are incomplete or queued, over all connections of an entry.
 *
 * <p>Over the limit the connection that holds most is closed, since ordinary callers hold little; of several the one
 * that has held heads for longest. None of the requests that it held has run. Used on the event loop only.
 */
final class HeadBudget {
    /** A connection that holds heads. */
    interface Holder {
        /** Closes the connection because it holds more than others while memory is short. */
        void closeForMemory();
    }

    /** Estimated heap of a field beside its text: the entry, two strings and their arrays. */
    private static final int FIELD_BYTES = 130;
    /** Estimated heap of a request beside its fields. */
    private static final int REQUEST_BYTES = 1_024;

    private final long maxBytes;
    private final CallerPressureListener listener;
    /** In the order in which the connections began to hold heads, which decides between equal ones. */
    private final Map<Holder, Long> heldBytes = new LinkedHashMap<>();

    private long totalBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes the limit for all heads together
     */
    HeadBudget(long maxBytes, CallerPressureListener listener) {
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    /** Returns the estimated heap of a decoded head, in bytes. */
    static int bytesOf(HttpRequest request) {
        int bytes = REQUEST_BYTES + request.uri().length();
        for (Map.Entry<String, String> field : request.headers()) {
            bytes += FIELD_BYTES + field.getKey().length() + field.getValue().length();
        }
        return bytes;
    }

    /** Sets what a connection holds, and closes connections while all together hold too much. */
    void set(Holder connection, long bytes) {
        Long before = bytes == 0 ? heldBytes.remove(connection) : heldBytes.put(connection, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
        while (totalBytes > maxBytes) {
            closeLargest();
        }
    }

    private void closeLargest() {
        Map.Entry<Holder, Long> largest = heldBytes.entrySet().stream()
                .reduce((first, next) -> next.getValue() > first.getValue() ? next : first)
                .orElseThrow();
        listener.onClosed("heads", totalBytes, maxBytes);
        totalBytes -= largest.getValue();
        Holder closed = largest.getKey();
        heldBytes.remove(closed);
        closed.closeForMemory();
    }

    /** Returns the estimated heap of all heads that are held now, in bytes. */
    long totalBytes() {
        return totalBytes;
    }
}

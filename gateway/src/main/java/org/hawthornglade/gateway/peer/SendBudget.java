package org.hawthornglade.gateway.peer;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the bytes that were sent in the last second, so that no second exceeds a limit. */
final class SendBudget {
    private static final long WINDOW_MS = 1_000;

    private record Sent(long atMs, long bytes) {}

    private final Deque<Sent> window = new ArrayDeque<>();
    private long bytesInWindow;

    /** Returns how many bytes were sent in the last second, in bytes. */
    long sentBytes(long nowMs) {
        while (!window.isEmpty() && nowMs - window.peekFirst().atMs() > WINDOW_MS) {
            bytesInWindow -= window.removeFirst().bytes();
        }
        return bytesInWindow;
    }

    /** Records bytes that were sent. */
    void onSent(long bytes, long nowMs) {
        window.addLast(new Sent(nowMs, bytes));
        bytesInWindow += bytes;
    }
}

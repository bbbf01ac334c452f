package org.hawthornglade.core.limit;

/**
 * The number of entries among which a shared limit is divided.
 *
 * <p>An entry that has lost its connection to the leader may still send requests, so a decrease takes effect only after
 * a delay.
 */
public final class EntryCount {
    /** Delay before a decrease takes effect, in milliseconds. */
    private static final long DECREASE_HOLD_MS = 60_000;

    private int entries = 1;
    private long reportedAtMs;

    /** Updates the count from the number of entries that the leader reports. */
    public void onReported(int reported, long nowMs) {
        if (reported >= entries || nowMs - reportedAtMs > DECREASE_HOLD_MS) {
            entries = Math.max(1, reported);
            reportedAtMs = nowMs;
        }
    }

    /** Returns the number to divide by; at least 1. */
    public int entries() {
        return entries;
    }
}

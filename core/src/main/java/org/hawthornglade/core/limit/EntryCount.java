package org.hawthornglade.core.limit;

/**
 * Among how many entries a common limit is split.
 *
 * <p>An entry that its leader no longer hears may go on to send, so that a smaller number counts only after a while.
 */
public final class EntryCount {
    /** For so long a smaller number than before is not believed, in milliseconds. */
    private static final long DECREASE_HOLD_MS = 60_000;

    private int entries = 1;
    private long reportedAtMs;

    /** Takes the number of entries that the leader hears. */
    public void onReported(int told, long nowMs) {
        if (told >= entries || nowMs - reportedAtMs > DECREASE_HOLD_MS) {
            entries = Math.max(1, told);
            reportedAtMs = nowMs;
        }
    }

    /** Returns the number to split by; at least 1. */
    public int entries() {
        return entries;
    }
}

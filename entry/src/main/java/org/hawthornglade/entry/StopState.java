package org.hawthornglade.entry;

/**
 * Tracks whether the process has begun to stop.
 *
 * <p>Safe for use by several threads.
 */
public final class StopState {
    private volatile boolean stopping;

    public boolean isStopping() {
        return stopping;
    }

    /** Records that the process has begun to stop. */
    public void begin() {
        stopping = true;
    }
}

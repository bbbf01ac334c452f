package org.hawthornglade.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Paces loads from the weight store over all instances.
 *
 * <p>Two limits hold: how many begin within a sliding window, and how many run at once. A load that got no answer
 * counts as begun, since it may be.
 */
public final class LoadPacer {
    /** The window over which the store's rate is kept. */
    static final long WINDOW_MS = 5_000;
    /** How many loads run at once; the store shares its bandwidth beyond a few. */
    static final int MAX_AT_ONCE = 4;

    private final Deque<Long> begunAtMs = new ArrayDeque<>();

    /** Returns whether one more load may begin. */
    public boolean mayBegin(double loadsPerSecond, int running, long nowMs) {
        while (!begunAtMs.isEmpty() && nowMs - begunAtMs.peekFirst() > WINDOW_MS) {
            begunAtMs.removeFirst();
        }
        return running < MAX_AT_ONCE && begunAtMs.size() < (int) (loadsPerSecond * WINDOW_MS / 1_000);
    }

    /** Takes note that a load begins, or may begin. */
    public void onBegin(long nowMs) {
        begunAtMs.addLast(nowMs);
    }
}

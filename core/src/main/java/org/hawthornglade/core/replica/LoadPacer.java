package org.hawthornglade.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Paces loads from the weight store over all instances.
 *
 * <p>Two limits hold: how many begin within a sliding window, and how many run at once. A load that got no answer
 * counts as begun, since it may be. How many may run at once is learned: while loads end in their nominal time more of
 * them may run, and when they take longer only as many as the store can serve at full speed.
 */
public final class LoadPacer {
    /** The window over which the store's rate is kept. */
    static final long WINDOW_MS = 5_000;
    /** The least and the most that run at once before any has ended. */
    private static final int LEAST_AT_FIRST = 4;

    private static final int MOST_AT_FIRST = 32;
    /** By the store's rate and the time of a load so many would run at once; this share of them does at first. */
    private static final double SHARE_AT_FIRST = 0.25;
    /** How many more may run after one that took its nominal time. */
    private static final int STEP = 2;
    /** The most that may run at once. */
    private static final int MAX_AT_ONCE = 64;
    /** A load that takes this many times its nominal time shows no shortage. */
    private static final double FULL_SPEED = 1.2;
    /** A load that takes this many times its nominal time shows that too many run. */
    private static final double TOO_SLOW = 1.5;
    /** For how long a number that was too high is not tried again. */
    private static final long REMEMBERED_MS = 60_000;

    private final Deque<Long> begunAtMs = new ArrayDeque<>();
    private int atOnce;
    private int mostAtOnce = MAX_AT_ONCE;
    private long mostUntilMs;

    /** Creates a pacer for a store of which nothing is known but what its configuration says. */
    public LoadPacer(EngineDefinition engine) {
        long longestMs = 0;
        for (ModelDefinition model : engine.models().values()) {
            longestMs = Math.max(longestMs, model.remoteLoadMs());
        }
        double atFullRate = engine.remoteLoadsPerSecond() * longestMs / 1_000;
        int first = (int) Math.round(SHARE_AT_FIRST * atFullRate);
        atOnce = Math.max(LEAST_AT_FIRST, Math.min(MOST_AT_FIRST, first));
    }

    /** Returns whether one more load may begin. */
    public boolean mayBegin(double loadsPerSecond, int running, long nowMs) {
        while (!begunAtMs.isEmpty() && nowMs - begunAtMs.peekFirst() > WINDOW_MS) {
            begunAtMs.removeFirst();
        }
        return running < atOnce && begunAtMs.size() < (int) (loadsPerSecond * WINDOW_MS / 1_000);
    }

    /** The same for a load that nothing waits for; it leaves half of the places to those that something waits for. */
    public boolean mayBeginInAdvance(double loadsPerSecond, int running, long nowMs) {
        return 2 * running < atOnce && mayBegin(loadsPerSecond, running, nowMs);
    }

    /** Takes note that a load begins, or may begin. */
    public void onBegin(long nowMs) {
        begunAtMs.addLast(nowMs);
    }

    /**
     * Takes note that a load has ended.
     *
     * @param slowdown how many times its nominal time it took
     * @param running how many loads ran at once with it, itself included
     */
    public void onEnd(double slowdown, int running, long nowMs) {
        if (nowMs >= mostUntilMs) {
            mostAtOnce = MAX_AT_ONCE;
        }
        if (slowdown > TOO_SLOW) {
            atOnce = Math.max(1, Math.min(atOnce, (int) (running / slowdown)));
            mostAtOnce = atOnce;
            mostUntilMs = nowMs + REMEMBERED_MS;
        } else if (slowdown < FULL_SPEED && 2 * running > atOnce) {
            atOnce = Math.min(mostAtOnce, atOnce + STEP);
        }
    }

    /** Returns how many loads may run at once. */
    int atOnce() {
        return atOnce;
    }
}

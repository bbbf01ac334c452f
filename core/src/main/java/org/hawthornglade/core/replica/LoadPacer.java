package org.hawthornglade.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Paces loads from the weight store over all instances.
 *
 * <p>Two limits hold: how many begin within a sliding window, and how many run at once. A load that got no answer
 * counts as begun, since it may be. How many may run at once is learned: somewhat more than have kept their nominal
 * time together, and no more than the store served at full speed once one is late, whether that one has ended or not.
 */
public final class LoadPacer {
    /** The window over which the store's rate is kept. */
    static final long RATE_WINDOW_MS = 5_000;
    /** A load that takes this many times its nominal time is late. */
    static final double OVERDUE_FACTOR = 1.2;
    /** The most that may run at once. */
    private static final int MAX_CONCURRENT_LOADS = 64;
    /** The share of the engines that more loads than are proven may hold up; one in any case. */
    private static final double MAX_UNPROVEN_SHARE = 0.25;
    /** For how long a number that was too high is not tried again. */
    private static final long LIMIT_RETENTION_MS = 60_000;
    /** By this share more loads are tried after that time; one more in any case. */
    private static final double LIMIT_STEP_SHARE = 0.25;

    private final Deque<Long> startedAtMs = new ArrayDeque<>();
    private int proven = 1;
    private int maxConcurrent = MAX_CONCURRENT_LOADS;
    private long maxConcurrentUntilMs;
    private boolean nominalTimeExceeded;
    private int onTimeLoads;
    private int onTimeConcurrent = MAX_CONCURRENT_LOADS;

    /**
     * Returns whether one more load may begin.
     *
     * @param running how many run now
     * @param engines how many engines could be held up by loads
     */
    public boolean mayStart(double loadsPerSecond, int running, int engines, long nowMs) {
        while (!startedAtMs.isEmpty() && nowMs - startedAtMs.peekFirst() > RATE_WINDOW_MS) {
            startedAtMs.removeFirst();
        }
        return running < concurrencyLimit(engines, nowMs) && startedAtMs.size() < (int) (loadsPerSecond * RATE_WINDOW_MS / 1_000);
    }

    /** The same for a load that nothing waits for; it leaves half of the places to those that something waits for. */
    public boolean mayStartPreload(double loadsPerSecond, int running, int engines, long nowMs) {
        return 2 * running < concurrencyLimit(engines, nowMs) && mayStart(loadsPerSecond, running, engines, nowMs);
    }

    /** Takes note that a load begins, or may begin. */
    public void onStart(long nowMs) {
        startedAtMs.addLast(nowMs);
    }

    /** Takes note that a load has ended. */
    void onEnd(LoadSample load, long nowMs) {
        if (load.slowdown() > OVERDUE_FACTOR) {
            onOverdue(load, nowMs);
            return;
        }
        if (load.earlierConcurrent() > proven) {
            setProven(load.earlierConcurrent(), nowMs);
        }
        if (load.minConcurrent() <= proven) {
            return;
        }
        // One that ends in time may have been first in a queue: all that began together have to be in time.
        onTimeLoads++;
        onTimeConcurrent = Math.min(onTimeConcurrent, load.minConcurrent());
        if (onTimeLoads >= onTimeConcurrent) {
            setProven(onTimeConcurrent, nowMs);
        }
    }

    private void setProven(int atOnce, long nowMs) {
        proven = Math.min(atOnce, maxConcurrent(nowMs));
        maxConcurrent = Math.max(maxConcurrent, proven);
        resetOnTimeLoads();
    }

    /** Takes note of whether a load runs that should have ended; until it has, no more begin than are proven. */
    void setNominalTimeExceeded(boolean now) {
        nominalTimeExceeded = now;
    }

    /** Takes note that a load is late, ended or not. */
    void onOverdue(LoadSample load, long nowMs) {
        resetOnTimeLoads();
        int possible = Math.max(1, (int) (load.maxConcurrent() / load.slowdown()));
        if (possible < load.maxConcurrent()) {
            maxConcurrent = Math.min(maxConcurrent(nowMs), possible);
            maxConcurrentUntilMs = nowMs + LIMIT_RETENTION_MS;
            proven = Math.min(proven, maxConcurrent);
        }
    }

    private void resetOnTimeLoads() {
        onTimeLoads = 0;
        onTimeConcurrent = MAX_CONCURRENT_LOADS;
    }

    private int maxConcurrent(long nowMs) {
        int step = nowMs < maxConcurrentUntilMs ? 0 : Math.max(1, (int) (LIMIT_STEP_SHARE * maxConcurrent));
        return Math.min(MAX_CONCURRENT_LOADS, maxConcurrent + step);
    }

    /** Returns how many loads may run at once. */
    int concurrencyLimit(int engines, long nowMs) {
        if (nominalTimeExceeded) {
            return Math.min(maxConcurrent(nowMs), proven);
        }
        int unproven = Math.max(1, (int) (MAX_UNPROVEN_SHARE * engines));
        return Math.min(maxConcurrent(nowMs), proven + Math.min(proven, unproven));
    }

    /** Returns how many loads have kept their nominal time together. */
    int proven() {
        return proven;
    }

    /**
     * Returns how long a load takes that begins now: as if those beyond the number that may run had to wait.
     *
     * @param running how many loads run then, itself included
     */
    long expectedMs(long nominalMs, int running, int engines, long nowMs) {
        int atOnce = concurrencyLimit(engines, nowMs);
        return nominalMs * Math.max(1, (running + atOnce - 1) / atOnce);
    }

    /** Returns what has been learned, for the next leader. */
    public LoadLimits limits(long nowMs) {
        return new LoadLimits(proven, maxConcurrent(nowMs));
    }

    /** Takes what another leader has learned. */
    public void adopt(LoadLimits learned, long nowMs) {
        proven = Math.min(learned.proven(), MAX_CONCURRENT_LOADS);
        maxConcurrent = Math.min(learned.max(), MAX_CONCURRENT_LOADS);
        maxConcurrentUntilMs = nowMs + LIMIT_RETENTION_MS;
    }
}

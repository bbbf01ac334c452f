package org.hawthornglade.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Paces the loads from the weight store over all instances.
 *
 * <p>Two limits hold: how many loads start within a sliding window, and how many run concurrently. A load whose order
 * got no answer counts as started, since it may be. The concurrency limit is learned: somewhat above the number of
 * concurrent loads that have kept their nominal time, and, as soon as a load is overdue, whether it has ended or not,
 * no more than the store served at full speed.
 */
public final class LoadPacer {
    /** The length of the sliding window over which the configured rate of the store is kept. */
    static final long RATE_WINDOW_MS = 5_000;
    /** A load that takes this many times its nominal time is overdue. */
    static final double OVERDUE_FACTOR = 1.2;
    /** The maximum number of concurrent loads. */
    private static final int MAX_CONCURRENT_LOADS = 64;
    /** The share of the engines that loads beyond the proven concurrency may occupy; at least one engine. */
    private static final double MAX_UNPROVEN_SHARE = 0.25;
    /** How long a concurrency that was too high is not tried again. */
    private static final long LIMIT_RETENTION_MS = 60_000;
    /** After that time the limit is raised by this share; by at least one load. */
    private static final double LIMIT_STEP_SHARE = 0.25;

    private final Deque<Long> startedAtMs = new ArrayDeque<>();
    private int proven = 1;
    private int maxConcurrent = MAX_CONCURRENT_LOADS;
    private long maxConcurrentUntilMs;
    private boolean nominalTimeExceeded;
    private int onTimeLoads;
    private int onTimeConcurrent = MAX_CONCURRENT_LOADS;

    /**
     * Returns whether one more load may start.
     *
     * @param running how many loads run now
     * @param engines how many engines loads could occupy
     */
    public boolean mayStart(double loadsPerSecond, int running, int engines, long nowMs) {
        while (!startedAtMs.isEmpty() && nowMs - startedAtMs.peekFirst() > RATE_WINDOW_MS) {
            startedAtMs.removeFirst();
        }
        return running < concurrencyLimit(engines, nowMs)
                && startedAtMs.size() < (int) (loadsPerSecond * RATE_WINDOW_MS / 1_000);
    }

    /** Returns whether one more load that no call waits for may start; half of the limit is left to awaited loads. */
    public boolean mayStartPreload(double loadsPerSecond, int running, int engines, long nowMs) {
        return 2 * running < concurrencyLimit(engines, nowMs) && mayStart(loadsPerSecond, running, engines, nowMs);
    }

    /** Records that a load starts, or may have started. */
    public void onStart(long nowMs) {
        startedAtMs.addLast(nowMs);
    }

    /** Records that a load has ended. */
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
        // A load that ends on time may have been first in a queue: all loads that started together have to end on time.
        onTimeLoads++;
        onTimeConcurrent = Math.min(onTimeConcurrent, load.minConcurrent());
        if (onTimeLoads >= onTimeConcurrent) {
            setProven(onTimeConcurrent, nowMs);
        }
    }

    private void setProven(int concurrent, long nowMs) {
        proven = Math.min(concurrent, maxConcurrent(nowMs));
        maxConcurrent = Math.max(maxConcurrent, proven);
        resetOnTimeLoads();
    }

    /**
     * Sets whether a running load has exceeded its nominal time; until it ends, the proven concurrency is the limit.
     */
    void setNominalTimeExceeded(boolean exceeded) {
        nominalTimeExceeded = exceeded;
    }

    /** Records that a load is overdue, whether it has ended or not. */
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

    /** Returns how many loads may run concurrently. */
    int concurrencyLimit(int engines, long nowMs) {
        if (nominalTimeExceeded) {
            return Math.min(maxConcurrent(nowMs), proven);
        }
        int unproven = Math.max(1, (int) (MAX_UNPROVEN_SHARE * engines));
        return Math.min(maxConcurrent(nowMs), proven + Math.min(proven, unproven));
    }

    /** Returns the highest number of concurrent loads that have kept their nominal time. */
    int proven() {
        return proven;
    }

    /**
     * Returns the expected duration of a load that starts now, as if loads beyond the concurrency limit had to queue.
     *
     * @param nominalMs its duration at the full speed of the store, in milliseconds
     * @param running how many loads run then, itself included
     */
    long expectedMs(long nominalMs, int running, int engines, long nowMs) {
        int limit = concurrencyLimit(engines, nowMs);
        return nominalMs * Math.max(1, (running + limit - 1) / limit);
    }

    /** Returns the learned limits, for the next leader. */
    public LoadLimits limits(long nowMs) {
        return new LoadLimits(proven, maxConcurrent(nowMs));
    }

    /** Adopts the limits that another leader has learned. */
    public void adopt(LoadLimits learned, long nowMs) {
        proven = Math.min(learned.proven(), MAX_CONCURRENT_LOADS);
        maxConcurrent = Math.min(learned.max(), MAX_CONCURRENT_LOADS);
        maxConcurrentUntilMs = nowMs + LIMIT_RETENTION_MS;
    }
}

package org.hawthornglade.core.replica;

import java.util.Collection;
import org.hawthornglade.core.id.ModelName;

/** Tracks one load from the weight store that runs at an engine. */
final class RemoteLoad {
    /** A load that has passed its expected end is expected to take this share of its duration so far longer. */
    private static final double EXTENSION_SHARE = 0.2;
    /** A load that takes this many times its nominal time is held up by its engine, not by the store. */
    private static final double STUCK_FACTOR = 2.5;
    /** A load that takes this many times its expected time counts as timed out. */
    private static final double TIMEOUT_FACTOR = 3;
    /** A load that another leader ordered, of which only the expected end is known, times out this long after that. */
    private static final long INHERITED_TIMEOUT_MS = 10_000;
    /** The approximate delay until the end of a load is detected. */
    private static final long DETECTION_DELAY_MS = 300;
    /** Of loads that start within this time of each other it is not known which the store accepted first. */
    private static final long SIMULTANEOUS_MS = 100;

    private final ModelName model;
    private final long startedAtMs;
    private final long nominalMs;
    private final boolean timed;
    private final long timeoutAtMs;
    private long expectedAtMs;
    private int runningAtStart;
    private int aheadAtStart;
    private double concurrencyIntegralMs;
    private long observedAtMs;
    private boolean reportedOverdue;

    private RemoteLoad(
            ModelName model, long startedAtMs, long nominalMs, long expectedAtMs, long timeoutAtMs, boolean timed) {
        this.model = model;
        this.startedAtMs = startedAtMs;
        this.nominalMs = Math.max(1, nominalMs);
        this.expectedAtMs = expectedAtMs;
        this.timeoutAtMs = timeoutAtMs;
        this.timed = timed;
        this.observedAtMs = startedAtMs;
    }

    /** Creates a load whose order has just been accepted. */
    static RemoteLoad started(ModelName model, OrderDuration duration, long nowMs) {
        long timeoutAtMs = nowMs + (long) (TIMEOUT_FACTOR * duration.expectedMs());
        return new RemoteLoad(model, nowMs, duration.nominalMs(), nowMs + duration.expectedMs(), timeoutAtMs, true);
    }

    /** Creates a load that another leader ordered; nothing can be learned from its duration. */
    static RemoteLoad inherited(ModelName model, long expectedAtMs) {
        return new RemoteLoad(model, expectedAtMs, 1, expectedAtMs, expectedAtMs + INHERITED_TIMEOUT_MS, false);
    }

    ModelName model() {
        return model;
    }

    long nominalMs() {
        return nominalMs;
    }

    long elapsedMs(long nowMs) {
        return nowMs - startedAtMs;
    }

    /** Returns whether the start of the load is known, so that its duration shows how fast the store is. */
    boolean timed() {
        return timed;
    }

    long expectedAtMs() {
        return expectedAtMs;
    }

    /**
     * Records the loads that run now.
     *
     * @param known the running loads that are known one by one
     * @param running the number of all running loads, this one included
     */
    void observe(Collection<RemoteLoad> known, int running, long nowMs) {
        if (runningAtStart == 0) {
            runningAtStart = running;
            aheadAtStart = 1 + ahead(known);
        }
        concurrencyIntegralMs += (double) running * (nowMs - observedAtMs);
        observedAtMs = nowMs;
        if (nowMs > expectedAtMs) {
            expectedAtMs = nowMs + (long) (EXTENSION_SHARE * Math.max(nominalMs, nowMs - startedAtMs));
        }
    }

    private int ahead(Collection<RemoteLoad> known) {
        int ahead = 0;
        for (RemoteLoad other : known) {
            ahead += other.startedAtMs < startedAtMs - SIMULTANEOUS_MS ? 1 : 0;
        }
        return ahead;
    }

    /** Returns whether the load has exceeded its nominal time and is not stuck. */
    boolean nominalTimeExceeded(long nowMs) {
        return timed && nowMs - startedAtMs > nominalMs && !stuck(nowMs);
    }

    /** Returns whether the engine holds up the load, so that its duration shows nothing about the store. */
    boolean stuck(long nowMs) {
        return timed && slowdown(nowMs) > STUCK_FACTOR;
    }

    /** Returns whether the load no longer counts as in progress. */
    boolean timedOut(long nowMs) {
        return nowMs > timeoutAtMs;
    }

    /** Returns whether the load is overdue; true only on the first call since it became so. */
    boolean becomesOverdue(long nowMs) {
        boolean first = timed && !reportedOverdue && overdue(nowMs);
        reportedOverdue |= first;
        return first;
    }

    /** Returns whether the load is overdue, but not by so much that its engine must be the cause. */
    boolean overdue(long nowMs) {
        return timed && slowdown(nowMs) > LoadPacer.OVERDUE_FACTOR && !stuck(nowMs);
    }

    private double slowdown(long nowMs) {
        return (double) Math.max(1, nowMs - startedAtMs - DETECTION_DELAY_MS) / nominalMs;
    }

    LoadSample sample(long nowMs) {
        long elapsedMs = Math.max(1, nowMs - startedAtMs);
        int meanConcurrent = Math.max(1, (int) Math.round(concurrencyIntegralMs / elapsedMs));
        return new LoadSample(
                slowdown(nowMs),
                Math.min(aheadAtStart, meanConcurrent),
                Math.min(runningAtStart, meanConcurrent),
                Math.max(runningAtStart, meanConcurrent));
    }
}

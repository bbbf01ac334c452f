package org.hawthornglade.core.replica;

import java.util.Collection;
import org.hawthornglade.core.id.ModelName;

/** A load from the weight store that runs at an engine. */
final class RemoteLoad {
    /** A load that has not ended when it should is expected to take this share of its time so far longer. */
    private static final double EXTENSION_SHARE = 0.2;
    /** A load that takes this many times its nominal time is held up by its engine, not by the store. */
    private static final double STUCK_FACTOR = 2.5;
    /** A load that takes this many times what was expected is taken to be lost. */
    private static final double TIMEOUT_FACTOR = 3;
    /** The same for one that another leader ordered, of which only the end was told: so long after that. */
    private static final long INHERITED_TIMEOUT_MS = 10_000;
    /** The end of a load is noticed about this much later. */
    private static final long DETECTION_DELAY_MS = 300;
    /** Of loads that begin within this time it is not known which the store took first. */
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
            ModelName model, long begunAtMs, long nominalMs, long expectedAtMs, long lostAtMs, boolean timed) {
        this.model = model;
        this.startedAtMs = begunAtMs;
        this.nominalMs = Math.max(1, nominalMs);
        this.expectedAtMs = expectedAtMs;
        this.timeoutAtMs = lostAtMs;
        this.timed = timed;
        this.observedAtMs = begunAtMs;
    }

    /** Creates a load whose order has just been accepted. */
    static RemoteLoad started(ModelName model, OrderDuration time, long nowMs) {
        long lostAtMs = nowMs + (long) (TIMEOUT_FACTOR * time.expectedMs());
        return new RemoteLoad(model, nowMs, time.nominalMs(), nowMs + time.expectedMs(), lostAtMs, true);
    }

    /** Creates a load that another leader ordered; nothing can be learned from its time. */
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

    /** Returns whether its begin is known, so that its time says something of the store. */
    boolean timed() {
        return timed;
    }

    long expectedAtMs() {
        return expectedAtMs;
    }

    /** Takes note of the loads that run now, this one included, of which some may not be known but by their number. */
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

    /** Returns whether it should have ended. */
    boolean nominalTimeExceeded(long nowMs) {
        return timed && nowMs - startedAtMs > nominalMs && !stuck(nowMs);
    }

    /** Returns whether its engine holds it up, so that its time says nothing of the store. */
    boolean stuck(long nowMs) {
        return timed && slowdown(nowMs) > STUCK_FACTOR;
    }

    /** Returns whether it no longer counts as under way. */
    boolean timedOut(long nowMs) {
        return nowMs > timeoutAtMs;
    }

    /** Returns whether it is late, the first time that it is asked since. */
    boolean becomesOverdue(long nowMs) {
        boolean first = timed && !reportedOverdue && overdue(nowMs);
        reportedOverdue |= first;
        return first;
    }

    /** Returns whether it is late, but not by so much that its engine is the cause. */
    boolean overdue(long nowMs) {
        return timed && slowdown(nowMs) > LoadPacer.OVERDUE_FACTOR && !stuck(nowMs);
    }

    private double slowdown(long nowMs) {
        return (double) Math.max(1, nowMs - startedAtMs - DETECTION_DELAY_MS) / nominalMs;
    }

    LoadSample sample(long nowMs) {
        long elapsedMs = Math.max(1, nowMs - startedAtMs);
        int meanAtOnce = Math.max(1, (int) Math.round(concurrencyIntegralMs / elapsedMs));
        return new LoadSample(
                slowdown(nowMs),
                Math.min(aheadAtStart, meanAtOnce),
                Math.min(runningAtStart, meanAtOnce),
                Math.max(runningAtStart, meanAtOnce));
    }
}

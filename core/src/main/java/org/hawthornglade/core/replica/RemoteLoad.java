package org.hawthornglade.core.replica;

import org.hawthornglade.core.id.ModelName;

/** A load from the weight store that runs at an engine. */
final class RemoteLoad {
    /** A load that has not ended when it should is expected to take this share of its time so far longer. */
    private static final double LONGER_SHARE = 0.2;

    /** The end of a load is noticed about this much later. */
    private static final long NOTICE_MS = 300;

    private final ModelName model;
    private final long begunAtMs;
    private final long nominalMs;
    private final boolean timed;
    private long expectedAtMs;
    private int atBegin;
    private double runningMs;
    private long watchedAtMs;
    private boolean toldLate;

    private RemoteLoad(ModelName model, long begunAtMs, long nominalMs, long expectedAtMs, boolean timed) {
        this.model = model;
        this.begunAtMs = begunAtMs;
        this.nominalMs = Math.max(1, nominalMs);
        this.expectedAtMs = expectedAtMs;
        this.timed = timed;
        this.watchedAtMs = begunAtMs;
    }

    /** Creates a load whose order has just been accepted. */
    static RemoteLoad begun(ModelName model, OrderTime time, long nowMs) {
        return new RemoteLoad(model, nowMs, time.nominalMs(), nowMs + time.expectedMs(), true);
    }

    /** Creates a load that another leader ordered; nothing can be learned from its time. */
    static RemoteLoad inherited(ModelName model, long expectedAtMs) {
        return new RemoteLoad(model, expectedAtMs, 1, expectedAtMs, false);
    }

    ModelName model() {
        return model;
    }

    long nominalMs() {
        return nominalMs;
    }

    long elapsedMs(long nowMs) {
        return nowMs - begunAtMs;
    }

    /** Returns whether its begin is known, so that its time says something of the store. */
    boolean timed() {
        return timed;
    }

    long expectedAtMs() {
        return expectedAtMs;
    }

    /** Takes note of how many loads run now, this one included. */
    void watch(int running, long nowMs) {
        atBegin = atBegin == 0 ? running : atBegin;
        runningMs += (double) running * (nowMs - watchedAtMs);
        watchedAtMs = nowMs;
        if (nowMs > expectedAtMs) {
            expectedAtMs = nowMs + (long) (LONGER_SHARE * Math.max(nominalMs, nowMs - begunAtMs));
        }
    }

    /** Returns whether it is late, the first time that it is asked since. */
    boolean becomesLate(long nowMs) {
        boolean first = timed && !toldLate && late(nowMs);
        toldLate |= first;
        return first;
    }

    boolean late(long nowMs) {
        return timed && slowdown(nowMs) > LoadPacer.LATE;
    }

    private double slowdown(long nowMs) {
        return (double) Math.max(1, nowMs - begunAtMs - NOTICE_MS) / nominalMs;
    }

    LoadSample sample(long nowMs) {
        long elapsedMs = Math.max(1, nowMs - begunAtMs);
        int meanAtOnce = (int) Math.round(runningMs / elapsedMs);
        return new LoadSample(
                slowdown(nowMs),
                Math.max(1, Math.min(atBegin, meanAtOnce)),
                Math.max(1, Math.max(atBegin, meanAtOnce)));
    }
}

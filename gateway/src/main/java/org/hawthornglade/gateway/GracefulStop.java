package org.hawthornglade.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.stop.OpenWork;
import org.hawthornglade.core.stop.StopSequence;
import org.hawthornglade.core.stop.StopStep;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.loop.Timers;

/**
 * Stops an entry step by step, without interrupting open calls.
 *
 * <p>Each look at what is open and the steps that follow from it run together on the event loop: nothing is read in
 * between. The stopping thread only waits for the last step.
 */
final class GracefulStop {
    /** Interval at which the progress of the stop is checked. */
    private static final long CHECK_INTERVAL_MS = 20;
    /** Time before the end of the grace at which the process ends even without the last step. */
    private static final long MIN_RESERVE_MS = 250;
    /** The least time that the event loop has for all steps. */
    private static final long MIN_DURATION_MS = 1_000;

    /** The entry that stops; used on the event loop. */
    interface Entry {
        /** Returns what the end of the process would cut off now. */
        OpenWork openWork();

        /**
         * Carries out a step.
         *
         * @param open what was open when the step was decided
         */
        void perform(StopStep step, OpenWork open);
    }

    /**
     * A look at what was open.
     *
     * @param atMs when
     * @param open what was open
     */
    record Look(long atMs, OpenWork open) {}

    private final Timers timers;
    private final Clock clock;
    private final long startMs;
    private final long graceMs;
    private final Entry entry;
    private final StopSequence sequence;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile Look lastLook;

    /**
     * Creates a stop.
     *
     * @param startMs when it began
     * @param graceMs its maximum duration
     */
    GracefulStop(Timers timers, Clock clock, long startMs, long graceMs, Entry entry) {
        this.timers = timers;
        this.clock = clock;
        this.startMs = startMs;
        this.graceMs = graceMs;
        this.entry = entry;
        this.sequence = new StopSequence(startMs, graceMs);
        this.lastLook = new Look(clock.nowMs(), OpenWork.NONE);
    }

    /** Begins; may be called on any thread. */
    void start() {
        timers.run(this::check);
    }

    private void check() {
        if (sequence.ended()) {
            return;
        }
        timers.after(CHECK_INTERVAL_MS, this::check);
        OpenWork open = entry.openWork();
        lastLook = new Look(clock.nowMs(), open);
        for (StopStep step : sequence.next(clock.nowMs(), open)) {
            timers.runNow(() -> entry.perform(step, open));
        }
        if (sequence.ended()) {
            ended.countDown();
        }
    }

    /** Returns the last look at what was open, or the beginning of the stop; may be called on any thread. */
    Look lastLook() {
        return lastLook;
    }

    /** Waits until the process may end; returns whether all steps were carried out in time. */
    boolean awaitEnd() {
        try {
            long leftMs = startMs + graceMs - MIN_RESERVE_MS - clock.nowMs();
            return ended.await(Math.max(MIN_DURATION_MS, leftMs), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}

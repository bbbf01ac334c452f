package org.hawthornglade.standin.time;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.core.time.ManualClock;

/** Runs actions only while the time is advanced manually, in order of their due times. */
public final class ManualTimers implements Timers {
    private record ScheduledAction(long atMs, long sequence, Runnable action) {}

    private final ManualClock clock;
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atMs).thenComparingLong(ScheduledAction::sequence));
    private long sequence;

    /** Creates timers whose clock starts at the given time in milliseconds. */
    public ManualTimers(long startMs) {
        this.clock = new ManualClock(startMs);
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public synchronized void after(long delayMs, Runnable action) {
        queue.add(new ScheduledAction(clock.nowMs() + Math.max(0, delayMs), sequence++, action));
    }

    /** Advances the time and runs the actions that become due, each at its due time. */
    public void advance(long byMs) {
        long endMs = clock.nowMs() + byMs;
        for (ScheduledAction due = next(endMs); due != null; due = next(endMs)) {
            clock.advance(Math.max(0, due.atMs() - clock.nowMs()));
            due.action().run();
        }
        clock.advance(endMs - clock.nowMs());
    }

    private synchronized ScheduledAction next(long endMs) {
        ScheduledAction first = queue.peek();
        return first != null && first.atMs() <= endMs ? queue.poll() : null;
    }

    @Override
    public synchronized void close() {
        queue.clear();
    }
}

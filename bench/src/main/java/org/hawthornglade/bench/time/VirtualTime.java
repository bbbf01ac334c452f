package org.hawthornglade.bench.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in order of their time, and in order of scheduling if their times are equal. */
public final class VirtualTime {
    private static final Comparator<Timed> ORDER =
            Comparator.comparingLong(Timed::atMs).thenComparingLong(Timed::sequence);

    private final PriorityQueue<Timed> actions = new PriorityQueue<>(ORDER);
    private long nowMs;
    private long sequence;

    /** Returns the current virtual time, in milliseconds. */
    public long nowMs() {
        return nowMs;
    }

    /** Schedules an action at a time, or now if that has passed. */
    public void at(long atMs, Runnable action) {
        actions.add(new Timed(Math.max(nowMs, atMs), sequence++, action));
    }

    /** Schedules an action after a delay. */
    public void after(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    /** Runs all actions up to a time. */
    public void runUntil(long endMs) {
        while (!actions.isEmpty() && actions.peek().atMs() <= endMs) {
            Timed next = actions.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = endMs;
    }

    private record Timed(long atMs, long sequence, Runnable action) {}
}

package org.hawthornglade.bench.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in order of their time; equal times in order of scheduling. */
final class VirtualTime {
    private static final Comparator<Timed> ORDER =
            Comparator.comparingLong(Timed::atMs).thenComparingLong(Timed::sequence);

    private final PriorityQueue<Timed> actions = new PriorityQueue<>(ORDER);
    private long nowMs;
    private long sequence;

    long nowMs() {
        return nowMs;
    }

    void at(long atMs, Runnable action) {
        actions.add(new Timed(Math.max(nowMs, atMs), sequence++, action));
    }

    void after(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    void runUntil(long endMs) {
        while (!actions.isEmpty() && actions.peek().atMs() <= endMs) {
            Timed next = actions.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = endMs;
    }

    private record Timed(long atMs, long sequence, Runnable action) {}
}

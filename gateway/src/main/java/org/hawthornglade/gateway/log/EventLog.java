package org.hawthornglade.gateway.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.hawthornglade.core.time.Clock;

/**
 * Writes events as lines of key=value pairs.
 *
 * <p>Lines are written on a separate thread. If it falls behind, or if more than {@link #MAX_LINES_PER_S} lines are
 * logged within a second, lines are dropped and their number is written instead. No line of a stop is dropped, since it
 * may be all that tells of a request.
 */
public final class EventLog {
    /** Limit for the lines written within a second. */
    static final int MAX_LINES_PER_S = 500;

    private static final int QUEUE_LINES = 2_000;
    private static final long FLUSH_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Clock clock;
    private final BlockingQueue<String> queue = new LinkedBlockingQueue<>();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicInteger unwritten = new AtomicInteger();
    private long secondStartMs;
    private int linesThisSecond;
    private volatile OptionalLong stopStartedMs = OptionalLong.empty();

    /** Creates a log and starts its writer thread. */
    public EventLog(Clock clock, PrintStream out) {
        this.clock = clock;
        Thread writer = new Thread(() -> writeAll(out), "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Waits until all lines are written.
     *
     * @param timeoutMs the longest time to wait
     * @return whether they are
     */
    public boolean flush(long timeoutMs) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (unwritten.get() > 0) {
            if (System.nanoTime() > untilNanos) {
                return false;
            }
            LockSupport.parkNanos(FLUSH_CHECK_NANOS);
        }
        return true;
    }

    /** Starts a line, to be completed by {@link LogLine#write()}. */
    public LogLine event(String name) {
        return new LogLine(this, name);
    }

    /**
     * Drops no line from now on, and states on each how long the process has been stopping.
     *
     * @param startedMs when the stop began
     */
    public void onStop(long startedMs) {
        stopStartedMs = OptionalLong.of(startedMs);
    }

    /** Returns when the stop of the process began; empty before it. */
    OptionalLong stopStartedMs() {
        return stopStartedMs;
    }

    long nowMs() {
        return clock.nowMs();
    }

    void add(String line) {
        if (stopStartedMs.isEmpty() && (queue.size() >= QUEUE_LINES || !withinRate())) {
            dropped.incrementAndGet();
            return;
        }
        unwritten.incrementAndGet();
        queue.add(line);
    }

    private synchronized boolean withinRate() {
        long nowMs = clock.nowMs();
        if (nowMs - secondStartMs >= 1_000) {
            secondStartMs = nowMs;
            linesThisSecond = 0;
        }
        return ++linesThisSecond <= MAX_LINES_PER_S;
    }

    private void writeAll(PrintStream out) {
        try {
            while (true) {
                StringBuilder lines = new StringBuilder(queue.take()).append('\n');
                int count = 1;
                for (String line = queue.poll(); line != null; line = queue.poll()) {
                    lines.append(line).append('\n');
                    count++;
                }
                long droppedLines = dropped.getAndSet(0);
                if (droppedLines > 0) {
                    lines.append("at=")
                            .append(clock.nowMs())
                            .append(" event=log-dropped lines=")
                            .append(droppedLines)
                            .append('\n');
                }
                byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
                out.write(bytes, 0, bytes.length);
                out.flush();
                unwritten.addAndGet(-count);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.hawthornglade.core.time;

/** A clock that adds the elapsed time of the monotonic clock to the wall-clock time at creation. */
final class SystemClock implements Clock {
    private static final long NANOS_PER_MS = 1_000_000L;

    private final long startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    @Override
    public long nowMs() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}

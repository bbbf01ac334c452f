package org.hawthornglade.core.time;

/** The wall time at start, carried forward by the monotonic clock. */
final class SystemClock implements Clock {
    private static final long NANOS_PER_MS = 1_000_000L;

    private final long startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    @Override
    public long nowMs() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}

package org.hawthornglade.core.load;

/** A fixed number of loads in flight; a refusal by the store holds new ones back until it said to come back. */
public final class FixedLoadConcurrency implements LoadConcurrency {
    private static final long DEFAULT_RETRY_MS = 500;

    private final int limit;
    private long notBeforeMs;

    /** Allows this many loads in flight. */
    public FixedLoadConcurrency(int limit) {
        this.limit = limit;
    }

    @Override
    public boolean mayStart(int inFlight, long nowMs) {
        return inFlight < limit && nowMs >= notBeforeMs;
    }

    @Override
    public void onCompleted(int memoryMb, long durationMs, int inFlight, long nowMs) {}

    @Override
    public void onRateLimited(long retryAfterMs, long nowMs) {
        long delayMs = retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_MS;
        notBeforeMs = Math.max(notBeforeMs, nowMs + delayMs);
    }
}

package org.hawthornglade.core.load;

/** Allows a fixed number of loads in flight; after a rejection by the store none starts before its retry-after time. */
public final class FixedLoadConcurrency implements LoadConcurrency {
    private static final long DEFAULT_RETRY_MS = 500;

    private final int limit;
    private long notBeforeMs;

    /** Creates a limit of this many loads in flight. */
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

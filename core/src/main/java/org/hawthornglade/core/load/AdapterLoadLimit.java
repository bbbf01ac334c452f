package org.hawthornglade.core.load;

/** How many adapter loads an instance keeps in flight: up to the knee from which they slow each other down. */
public final class AdapterLoadLimit implements LoadConcurrency {
    /** From about this many adapter loads in flight each takes longer. */
    public static final int MAX_IN_FLIGHT = 30;

    private final FixedLoadConcurrency limit = new FixedLoadConcurrency(MAX_IN_FLIGHT);

    @Override
    public boolean mayStart(int inFlight, long nowMs) {
        return limit.mayStart(inFlight, nowMs);
    }

    @Override
    public void onCompleted(int memoryMb, long durationMs, int inFlight, long nowMs) {}

    @Override
    public void onRateLimited(long retryAfterMs, long nowMs) {
        limit.onRateLimited(retryAfterMs, nowMs);
    }
}

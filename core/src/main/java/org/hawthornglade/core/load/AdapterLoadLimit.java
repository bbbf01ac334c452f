package org.hawthornglade.core.load;

/** Limits the adapter loads that an instance keeps in flight to the number from which they slow each other down. */
public final class AdapterLoadLimit implements LoadConcurrency {
    /** The approximate number of adapter loads in flight from which each takes longer. */
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

package org.hawthornglade.core.quota;

/** The recent rate of units, in which an old request counts less than a new one. */
final class DemandRate {
    private static final double MS_PER_S = 1_000;
    private static final double NEGLIGIBLE_PER_S = 0.01;

    private final double memoryMs;
    private double unitsPerS;
    private long updatedAtMs;

    /**
     * Creates a rate of 0.
     *
     * @param memoryMs the time after which a request counts for 1/e of a new one
     */
    DemandRate(double memoryMs) {
        this.memoryMs = memoryMs;
    }

    void add(double units, long nowMs) {
        unitsPerS = perSecond(nowMs) + units * MS_PER_S / memoryMs;
        updatedAtMs = nowMs;
    }

    double perSecond(long nowMs) {
        double now = unitsPerS * Math.exp(-Math.max(0, nowMs - updatedAtMs) / memoryMs);
        return now < NEGLIGIBLE_PER_S ? 0 : now;
    }
}

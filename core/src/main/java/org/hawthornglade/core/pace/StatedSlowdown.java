package org.hawthornglade.core.pace;

/** How long work takes at a server at this moment relative to the usual time, as the server itself states. */
public final class StatedSlowdown {
    /** Time for which a statement applies; servers change it many times a second. */
    static final long VALID_MS = 1_000;

    private double slowdown = 1;
    private long statedAtMs = Long.MIN_VALUE / 2;
    private boolean ever;

    /**
     * Records a statement.
     *
     * @param stated the duration of work relative to 1 as usual
     */
    public void onStated(double stated, long nowMs) {
        slowdown = stated;
        statedAtMs = nowMs;
        ever = true;
    }

    /** Returns the stated slowdown; 1 if there is no recent one. */
    public double slowdown(long nowMs) {
        return ageMs(nowMs) < VALID_MS ? slowdown : 1;
    }

    /** Returns whether the server has ever stated its slowdown. */
    public boolean ever() {
        return ever;
    }

    /** Returns the age of the statement in milliseconds; very large if there is none. */
    public long ageMs(long nowMs) {
        return nowMs - statedAtMs;
    }
}

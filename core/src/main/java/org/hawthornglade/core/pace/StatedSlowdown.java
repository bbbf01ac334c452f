package org.hawthornglade.core.pace;

import com.google.common.primitives.Ints;
import java.util.OptionalDouble;

/** How long work takes at a server at this moment relative to the usual time, as the server itself states. */
public final class StatedSlowdown {
    /** Time for which a statement applies; servers change it many times a second. */
    static final long VALID_MS = 1_000;

    private static final double PERCENT = 100;
    /** Work that takes a tenth of the usual time; a lower statement counts as this. */
    private static final int MIN_PERCENT = 10;
    /** Work that takes 20 times the usual time; a higher statement counts as this. */
    private static final int MAX_PERCENT = 2_000;

    private double slowdown = 1;
    private long statedAtMs = Long.MIN_VALUE / 2;
    private boolean ever;

    /**
     * Reads a statement.
     *
     * @param text the duration of work in percent of the usual one
     * @return the duration relative to 1 as usual; empty if the text is not a positive whole number
     */
    public static OptionalDouble ofPercent(String text) {
        Integer percent = Ints.tryParse(text);
        if (percent == null || percent <= 0) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(Math.max(MIN_PERCENT, Math.min(MAX_PERCENT, percent)) / PERCENT);
    }

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

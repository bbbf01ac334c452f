package org.hawthornglade.core.replica;

/**
 * The learned limits of how many concurrent loads the weight store serves at full speed.
 *
 * @param proven the highest number of concurrent loads that have kept their nominal time
 * @param max the number of concurrent loads that is not exceeded for the time being
 */
public record LoadLimits(int proven, int max) {
    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if a limit is below 1
     */
    public LoadLimits {
        if (proven < 1 || max < 1) {
            throw new IllegalArgumentException("load limits must be at least 1: proven " + proven + ", max " + max);
        }
    }
}

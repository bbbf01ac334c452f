package org.hawthornglade.core.replica;

/**
 * What is known of how many loads the weight store serves at full speed at once.
 *
 * @param proven so many have kept their nominal time together
 * @param max more than this are not tried for the time being
 */
public record LoadLimits(int proven, int max) {
    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if they are not 1 or more
     */
    public LoadLimits {
        if (proven < 1 || max < 1) {
            throw new IllegalArgumentException("limits of loads must be 1 or more");
        }
    }
}

package org.hawthornglade.core.idle;

import org.hawthornglade.core.config.IdleSpec;

/**
 * The weight of cold starts against idle accelerator hours.
 *
 * @param coldSecondsPerIdleHour how many seconds of cold start weigh as much as one idle accelerator hour
 * @param tailExponent how much more a long cold start weighs than several short ones of the same total time; 1 if not
 *     at all
 * @param referenceLoadSeconds the length of a cold start whose weight does not depend on the exponent, in seconds
 */
public record IdlePrice(double coldSecondsPerIdleHour, double tailExponent, double referenceLoadSeconds) {
    private static final double DEFAULT_REFERENCE_SECONDS = 20;

    /** Returns a price that weighs each second of cold start the same. */
    public static IdlePrice linear(IdleSpec spec) {
        return new IdlePrice(spec.coldSecondsPerIdleHour(), 1, DEFAULT_REFERENCE_SECONDS);
    }

    /** Returns a price that weighs each second of a long cold start more. */
    public static IdlePrice convex(IdleSpec spec, double tailExponent) {
        return new IdlePrice(spec.coldSecondsPerIdleHour(), tailExponent, DEFAULT_REFERENCE_SECONDS);
    }
}

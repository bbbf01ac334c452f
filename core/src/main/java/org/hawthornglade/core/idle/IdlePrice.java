package org.hawthornglade.core.idle;

import org.hawthornglade.core.config.IdleSpec;

/**
 * How cold starts weigh against idle accelerator hours.
 *
 * @param coldSecondsPerIdleHour how many seconds of cold start weigh as much as one idle accelerator hour
 * @param tailExponent how much more a long cold start weighs than several short ones of the same sum; 1 for not at all
 * @param referenceLoadSeconds the cold start that weighs its own length whatever the exponent, in seconds
 */
public record IdlePrice(double coldSecondsPerIdleHour, double tailExponent, double referenceLoadSeconds) {
    private static final double DEFAULT_REFERENCE_SECONDS = 20;

    /** Weighs each second of cold start the same. */
    public static IdlePrice linear(IdleSpec spec) {
        return new IdlePrice(spec.coldSecondsPerIdleHour(), 1, DEFAULT_REFERENCE_SECONDS);
    }

    /** Weighs long cold starts more. */
    public static IdlePrice convex(IdleSpec spec, double tailExponent) {
        return new IdlePrice(spec.coldSecondsPerIdleHour(), tailExponent, DEFAULT_REFERENCE_SECONDS);
    }
}

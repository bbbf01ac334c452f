package org.hawthornglade.core.replica;

import org.hawthornglade.core.fleet.Variant;

/**
 * The calls that wait for a variant.
 *
 * @param variant the model or adapter that the calls need
 * @param calls how many calls wait
 * @param slackMs how long the most urgent of them can still wait within its latency target, in milliseconds; negative
 *     if the target has passed
 */
public record VariantDemand(Variant variant, int calls, long slackMs) {
    /** Adds up the demand of two entries for the same variant. */
    public VariantDemand plus(VariantDemand other) {
        return new VariantDemand(variant, calls + other.calls, Math.min(slackMs, other.slackMs));
    }
}

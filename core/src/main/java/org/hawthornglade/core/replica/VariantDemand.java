package org.hawthornglade.core.replica;

import org.hawthornglade.core.fleet.Variant;

/**
 * The calls that wait for a variant.
 *
 * @param variant the model or adapter that the calls need
 * @param calls how many calls wait, those included that were refused and are expected to be made again
 * @param expectedCalls how many of them were refused and are expected to be made again, so that none of them could be
 *     sent now
 * @param slackMs how long the most urgent of them can still wait within its latency target, in milliseconds; negative
 *     if the target has passed
 */
public record VariantDemand(Variant variant, int calls, int expectedCalls, long slackMs) {
    /** Returns whether a call waits that could be sent at once. */
    public boolean hasPresentCalls() {
        return calls > expectedCalls;
    }

    /** Adds up the demand of two entries for the same variant. */
    public VariantDemand plus(VariantDemand other) {
        return new VariantDemand(
                variant, calls + other.calls, expectedCalls + other.expectedCalls, Math.min(slackMs, other.slackMs));
    }
}

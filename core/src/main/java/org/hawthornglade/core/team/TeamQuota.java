package org.hawthornglade.core.team;

import com.google.common.base.Preconditions;

/**
 * What a team may use over all entries together.
 *
 * @param unit what a request counts as
 * @param unitsPerS the sustained rate
 * @param burstUnits what may be used beyond the sustained rate at once
 * @param defaultUnits what a request without token counts counts as, where tokens are counted
 */
public record TeamQuota(QuotaUnit unit, double unitsPerS, double burstUnits, long defaultUnits) {
    /** Validates the numbers. */
    public TeamQuota {
        Preconditions.checkArgument(unitsPerS > 0, "rate is not positive: %s", unitsPerS);
        Preconditions.checkArgument(burstUnits >= 0, "negative burst: %s", burstUnits);
        Preconditions.checkArgument(defaultUnits >= 0, "negative units: %s", defaultUnits);
    }
}

package org.hawthornglade.core.quota;

import org.hawthornglade.core.team.QuotaUnit;
import org.hawthornglade.core.team.TeamQuota;

/**
 * The amounts that follow from a quota and the tolerance.
 *
 * @param unitsPerS the sustained rate, in units per second
 * @param capacityUnits what may be granted at once after an idle time, over all entries
 * @param reserveUnits what one request may exceed a bucket by while no leader is heard, over all entries
 */
record QuotaAmounts(double unitsPerS, double capacityUnits, double reserveUnits) {
    /** Share of the tolerance that enlarges the leader's bucket; the rest is left to entries without a leader. */
    private static final double BUCKET_SHARE = 0.5;

    private static final double MS_PER_S = 1_000;

    /** Computes the amounts; the slack is stated in tokens and does not apply to quotas of requests. */
    static QuotaAmounts of(TeamQuota quota, QuotaTolerance tolerance) {
        double windowUnits = quota.unitsPerS() * tolerance.windowMs() / MS_PER_S + quota.burstUnits();
        double slackUnits = quota.unit() == QuotaUnit.TOKEN ? tolerance.slackUnits() : 0;
        double toleranceUnits = windowUnits * tolerance.overShare() + slackUnits;
        return new QuotaAmounts(
                quota.unitsPerS(),
                quota.burstUnits() + toleranceUnits * BUCKET_SHARE,
                toleranceUnits * (1 - BUCKET_SHARE));
    }

    /** Returns the units that accrue in a time. */
    double accrued(long elapsedMs) {
        return unitsPerS * elapsedMs / MS_PER_S;
    }
}

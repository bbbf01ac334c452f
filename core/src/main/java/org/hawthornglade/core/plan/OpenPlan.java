package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;

/**
 * Another plan that may still be confirmed.
 *
 * @param id the plan
 * @param office who made it
 * @param reason why, in its maker's words
 * @param madeAtMs when, in milliseconds since the Unix epoch
 * @param baseMoved whether its base is no longer in force, so that it needs a fresh plan first
 * @param touchesSame the entries that both plans change
 */
public record OpenPlan(
        PlanId id, OfficeId office, String reason, long madeAtMs, boolean baseMoved, List<String> touchesSame) {
    /** Copies the list. */
    public OpenPlan {
        touchesSame = List.copyOf(touchesSame);
    }
}

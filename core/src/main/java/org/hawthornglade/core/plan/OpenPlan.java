package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;

/**
 * Another plan that may still be confirmed.
 *
 * @param id the id of the plan
 * @param office the office that made it
 * @param reason the reason stated by that office
 * @param madeAtMs when it was made, in milliseconds since the Unix epoch
 * @param baseMoved whether its base version is no longer in force, so that a new plan must be made before confirming
 * @param touchesSame the entries that both plans change
 */
public record OpenPlan(
        PlanId id, OfficeId office, String reason, long madeAtMs, boolean baseMoved, List<String> touchesSame) {
    /** Copies the list. */
    public OpenPlan {
        touchesSame = List.copyOf(touchesSame);
    }
}

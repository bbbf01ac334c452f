package org.hawthornglade.ports.configuration;

import java.util.Optional;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.plan.PlanRefusal;
import org.hawthornglade.core.result.Failure;

/**
 * Why a plan was not confirmed.
 *
 * @param failure the code and a sentence
 * @param freshPlan the same intent on the configuration now in force, if the plan was stale
 * @param replanRefusal why a stale plan gave no fresh one
 */
public record ConfirmRefusal(Failure failure, Optional<Plan> freshPlan, Optional<PlanRefusal> replanRefusal) {
    static ConfirmRefusal of(Failure failure) {
        return new ConfirmRefusal(failure, Optional.empty(), Optional.empty());
    }
}

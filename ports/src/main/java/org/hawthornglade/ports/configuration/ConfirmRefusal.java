package org.hawthornglade.ports.configuration;

import java.util.Optional;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.plan.PlanRefusal;
import org.hawthornglade.core.result.Failure;

/**
 * The reason why a plan was not confirmed.
 *
 * @param failure the result code and a message
 * @param freshPlan a plan for the same intent, based on the configuration now in force, if the plan was stale
 * @param replanRefusal why no fresh plan could be made for a stale one
 */
public record ConfirmRefusal(Failure failure, Optional<Plan> freshPlan, Optional<PlanRefusal> replanRefusal) {
    static ConfirmRefusal of(Failure failure) {
        return new ConfirmRefusal(failure, Optional.empty(), Optional.empty());
    }
}

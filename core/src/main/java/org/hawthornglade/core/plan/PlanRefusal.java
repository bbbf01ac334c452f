package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.Fault;
import org.hawthornglade.core.result.Failure;

/**
 * Why an intent gave no plan.
 *
 * @param failure the code and a sentence
 * @param faults every fault that was found; empty if the cause is none in the intent
 */
public record PlanRefusal(Failure failure, List<Fault> faults) {
    /** Copies the list. */
    public PlanRefusal {
        faults = List.copyOf(faults);
    }

    /** Makes a refusal that no fault of the intent has caused. */
    public static PlanRefusal of(Failure failure) {
        return new PlanRefusal(failure, List.of());
    }
}

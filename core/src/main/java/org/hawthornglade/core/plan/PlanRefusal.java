package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.Fault;
import org.hawthornglade.core.result.Failure;

/**
 * The reason why no plan could be made for an intent.
 *
 * @param failure the code and a message
 * @param faults all faults found in the intent; empty if the intent is not the cause
 */
public record PlanRefusal(Failure failure, List<Fault> faults) {
    /** Copies the list. */
    public PlanRefusal {
        faults = List.copyOf(faults);
    }

    /** Creates a refusal that was not caused by a fault of the intent. */
    public static PlanRefusal of(Failure failure) {
        return new PlanRefusal(failure, List.of());
    }
}

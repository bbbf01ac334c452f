package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.PlacementInstance;

/**
 * The current state from which a plan is made.
 *
 * @param configuration the newest confirmed configuration
 * @param instances the listed engine instances
 * @param rows the assignment rows
 * @param nodes the configuration version of each process
 * @param openPlans the unconfirmed plans of all offices
 */
public record PlanningContext(
        Configuration configuration,
        List<PlacementInstance> instances,
        List<AssignmentRow> rows,
        List<NodeVersion> nodes,
        List<PlanSummary> openPlans) {
    /** Copies the lists. */
    public PlanningContext {
        instances = List.copyOf(instances);
        rows = List.copyOf(rows);
        nodes = List.copyOf(nodes);
        openPlans = List.copyOf(openPlans);
    }
}

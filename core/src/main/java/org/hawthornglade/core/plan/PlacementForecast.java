package org.hawthornglade.core.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.Placement;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.placement.PlacementResult;
import org.hawthornglade.core.placement.RowChange;
import org.hawthornglade.core.placement.UnplacedReplica;

/**
 * Predicts the assignments once a configuration is in force and every pending release is complete.
 *
 * @param assignments the resulting assignments
 * @param unplaced the replicas for which no instance has room
 */
record PlacementForecast(List<Assignment> assignments, List<UnplacedReplica> unplaced) {
    private static final int MAX_PASSES = 8;

    static PlacementForecast of(
            Configuration configuration, Collection<PlacementInstance> instances, Collection<AssignmentRow> rows) {
        Map<String, AssignmentRow> current = new HashMap<>();
        rows.forEach(row -> current.put(row.assignment().key(), row));
        PlacementResult result = Placement.decide(configuration, instances, current.values());
        for (int pass = 0; pass < MAX_PASSES && !result.changes().isEmpty(); pass++) {
            result.changes().forEach(change -> write(current, change));
            current.replaceAll((key, row) -> released(row));
            result = Placement.decide(configuration, instances, current.values());
        }
        List<Assignment> assignments = new ArrayList<>();
        current.values().stream()
                .map(AssignmentRow::assignment)
                .filter(assignment -> assignment.state() == AssignmentState.HELD)
                .sorted((a, b) -> a.key().compareTo(b.key()))
                .forEach(assignments::add);
        return new PlacementForecast(assignments, result.unplaced());
    }

    private static void write(Map<String, AssignmentRow> rows, RowChange change) {
        String key = change.assignment().key();
        if (change.kind() == RowChange.Kind.DELETE) {
            rows.remove(key);
        } else {
            rows.put(key, new AssignmentRow(change.assignment(), change.revision() + 1));
        }
    }

    /** Returns the row as it is after its holder has released it, if a release was requested. */
    private static AssignmentRow released(AssignmentRow row) {
        if (row.assignment().state() != AssignmentState.RELEASING) {
            return row;
        }
        return new AssignmentRow(row.assignment().withState(AssignmentState.RELEASED), row.revision() + 1);
    }
}

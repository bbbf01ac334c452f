package org.hawthornglade.core.placement;

import java.util.Collection;
import java.util.List;
import org.hawthornglade.core.config.Configuration;

/**
 * Decides which instance may hold which replica.
 *
 * <p>Assigns no row of a model while {@code maxReplicas} of its replicas may be loaded, those being released included,
 * and never two rows of a model to one instance. A row is taken from its holder only if the holder has released it or
 * is listed as gone. The rows of an instance may add up to more resources than it has: its agent then loads them in
 * turns. The result depends on the arguments alone, not on their order.
 */
public final class Placement {
    private Placement() {}

    /**
     * Runs one placement pass.
     *
     * @param configuration the configuration in force
     * @param instances the engine instances that are listed
     * @param rows all assignment rows
     */
    public static PlacementResult decide(
            Configuration configuration, Collection<PlacementInstance> instances, Collection<AssignmentRow> rows) {
        PlacementPass pass = new PlacementPass(configuration, instances);
        pass.review(sorted(rows));
        pass.place();
        return pass.result();
    }

    private static List<AssignmentRow> sorted(Collection<AssignmentRow> rows) {
        return rows.stream()
                .sorted((a, b) -> a.assignment().key().compareTo(b.assignment().key()))
                .toList();
    }
}

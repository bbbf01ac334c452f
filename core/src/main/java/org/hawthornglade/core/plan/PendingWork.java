package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.assignment.Assignment;

/**
 * The work of earlier confirms that is still pending.
 *
 * @param releasing the replicas that their holders have not yet released
 * @param behind the processes that do not have the base version in force yet
 */
public record PendingWork(List<Assignment> releasing, List<NodeVersion> behind) {
    /** Copies the lists. */
    public PendingWork {
        releasing = List.copyOf(releasing);
        behind = List.copyOf(behind);
    }
}

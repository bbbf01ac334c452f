package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.assignment.Assignment;

/**
 * What earlier confirms still have under way.
 *
 * @param releasing the replicas that their holders are still to give up
 * @param behind the processes that do not have the base version in force yet
 */
public record PendingWork(List<Assignment> releasing, List<NodeVersion> behind) {
    /** Copies the lists. */
    public PendingWork {
        releasing = List.copyOf(releasing);
        behind = List.copyOf(behind);
    }
}

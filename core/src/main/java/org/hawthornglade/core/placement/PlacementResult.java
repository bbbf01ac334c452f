package org.hawthornglade.core.placement;

import java.util.List;

/**
 * The decisions of one placement pass.
 *
 * @param changes the row changes to write
 * @param unplaced the replicas for which there is no room
 */
public record PlacementResult(List<RowChange> changes, List<UnplacedReplica> unplaced) {
    /** Copies the lists. */
    public PlacementResult {
        changes = List.copyOf(changes);
        unplaced = List.copyOf(unplaced);
    }
}

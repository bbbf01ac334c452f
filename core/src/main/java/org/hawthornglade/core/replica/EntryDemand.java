package org.hawthornglade.core.replica;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * What one entry tells the placement leader.
 *
 * @param waiting the calls that wait there
 * @param arrivals the calls that have lately asked for each model
 * @param running the calls under way at each instance, by variant
 * @param unreachable the instances that the entry lately failed to reach
 * @param leavingInstances the instances that have told the entry that they leave, with the start that did
 */
public record EntryDemand(
        List<VariantDemand> waiting,
        Map<ModelName, ModelArrivals> arrivals,
        Map<InstanceId, Map<Variant, Integer>> running,
        Set<InstanceId> unreachable,
        Map<InstanceId, Long> leavingInstances) {
    /** Copies the collections. */
    public EntryDemand {
        waiting = List.copyOf(waiting);
        arrivals = ImmutableMap.copyOf(arrivals);
        running = ImmutableMap.copyOf(running);
        unreachable = Set.copyOf(unreachable);
        leavingInstances = Map.copyOf(leavingInstances);
    }

    /** Returns the same demand with other arrivals. */
    EntryDemand withArrivals(Map<ModelName, ModelArrivals> other) {
        return new EntryDemand(waiting, other, running, unreachable, leavingInstances);
    }
}

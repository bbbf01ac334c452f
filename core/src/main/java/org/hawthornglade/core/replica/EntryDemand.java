package org.hawthornglade.core.replica;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * The demand that one entry reports to the placement leader.
 *
 * @param waiting the calls that wait at the entry
 * @param arrivals the recent arrivals for each model
 * @param running the calls in flight at each instance, by variant
 * @param unreachable the instances that the entry recently failed to reach
 * @param leavingInstances the instances that have announced to the entry that they are leaving, each with the start
 *     time of the instance that announced it
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

package org.hawthornglade.core.admission;

import java.util.Set;
import org.hawthornglade.core.id.ModelName;

/**
 * The demand that waits in one queue for one model.
 *
 * @param queued how many requests wait
 * @param waitingWeight the sum of their class weights
 * @param oldestWaitMs how long the oldest has waited, in milliseconds
 * @param earliestDeadlineInMs the time until the earliest deadline, in milliseconds; {@link Long#MAX_VALUE} if none
 *     waits
 * @param adapters the adapters that the requests need
 */
public record QueueDemand(
        int queued, double waitingWeight, long oldestWaitMs, long earliestDeadlineInMs, Set<ModelName> adapters) {
    /** Copies the set. */
    public QueueDemand {
        adapters = Set.copyOf(adapters);
    }
}

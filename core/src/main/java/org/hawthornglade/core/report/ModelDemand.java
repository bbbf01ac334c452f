package org.hawthornglade.core.report;

import java.util.List;
import org.hawthornglade.core.id.ModelName;

/**
 * The demand of one entry for one base model. A request that was refused with a retry-after time still counts as
 * waiting until shortly after its retry is due.
 *
 * @param model the base model
 * @param queued the number of requests that wait for it at the entry
 * @param running the number of its requests that the entry has in flight
 * @param waitingWeight the sum of the class weights of the waiting requests
 * @param oldestWaitMs how long the oldest of them, apart from refused requests, has waited, in milliseconds
 * @param earliestDeadlineInMs the earliest of their deadlines, in milliseconds from now; for a refused request, the
 *     remaining time for which it counts as waiting; {@link Long#MAX_VALUE} if none waits
 * @param adapters the adapters that they request
 * @param sinceLastRequestMs milliseconds since the entry's last request for the model; -1 if there was none
 * @param received the number of requests for it that the entry has received since its start
 */
public record ModelDemand(
        ModelName model,
        int queued,
        int running,
        double waitingWeight,
        long oldestWaitMs,
        long earliestDeadlineInMs,
        List<ModelName> adapters,
        long sinceLastRequestMs,
        long received) {
    /** Copies the list. */
    public ModelDemand {
        adapters = List.copyOf(adapters);
    }
}

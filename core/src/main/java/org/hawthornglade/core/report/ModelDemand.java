package org.hawthornglade.core.report;

import java.util.List;
import org.hawthornglade.core.id.ModelName;

/**
 * What one entry wants of one base model.
 *
 * @param model the base model
 * @param queued how many requests wait for it at the entry
 * @param running how many of its requests the entry has in flight
 * @param waitingWeight the sum of the class weights of those that wait
 * @param oldestWaitMs how long the oldest has waited, in milliseconds
 * @param earliestDeadlineInMs when the first of their deadlines passes, in milliseconds from now
 * @param adapters the adapters asked for among them
 * @param sinceLastRequestMs milliseconds since the entry's last request for the model; -1 if there was none
 * @param received how many requests for it the entry has received since it started
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

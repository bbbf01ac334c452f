package org.hawthornglade.entry.operator;

import java.util.List;
import org.hawthornglade.core.event.TimelineEvent;

/**
 * An explanation of the decisions about a request or a model.
 *
 * @param subject the id of the request, or the name of the model
 * @param state its state in one sentence
 * @param reasons the decisions in the order in which they were made, each in one sentence
 * @param events the events behind them
 * @param missing the instances whose processes did not respond
 */
public record Explanation(
        String subject, String state, List<String> reasons, List<TimelineEvent> events, List<String> missing) {
    /** Copies the lists. */
    public Explanation {
        reasons = List.copyOf(reasons);
        events = List.copyOf(events);
        missing = List.copyOf(missing);
    }
}

package org.hawthornglade.entry.operator;

import java.util.List;
import org.hawthornglade.core.event.TimelineEvent;

/**
 * What was decided about a request or a model, and why.
 *
 * @param subject the request or model
 * @param state its state in one sentence
 * @param reasons the decisions in the order they were taken, each in one sentence
 * @param events the events behind them
 * @param missing the instances whose processes did not answer
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

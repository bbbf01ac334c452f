package org.hawthornglade.entry.operator;

import java.util.List;
import org.hawthornglade.core.event.TimelineEvent;

/**
 * The events of all processes that could be asked.
 *
 * @param events the events by time
 * @param missing the instances whose processes did not answer
 */
public record MergedTimeline(List<TimelineEvent> events, List<String> missing) {
    /** Copies the lists. */
    public MergedTimeline {
        events = List.copyOf(events);
        missing = List.copyOf(missing);
    }
}

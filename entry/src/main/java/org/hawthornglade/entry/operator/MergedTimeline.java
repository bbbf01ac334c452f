package org.hawthornglade.entry.operator;

import java.util.List;
import org.hawthornglade.core.event.TimelineEvent;

/**
 * The merged events of all processes that responded.
 *
 * @param events the events, ordered by time
 * @param missing the instances whose processes did not respond
 */
public record MergedTimeline(List<TimelineEvent> events, List<String> missing) {
    /** Copies the lists. */
    public MergedTimeline {
        events = List.copyOf(events);
        missing = List.copyOf(missing);
    }
}

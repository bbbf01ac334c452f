package org.hawthornglade.core.event;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Merges the events of several processes into one timeline.
 *
 * <p>The clocks of the processes may differ slightly, so the order between processes is only as accurate as the clocks;
 * the events of one process keep their order.
 */
public final class TimelineMerge {
    /** Orders events by time, and the events of one process by their sequence. */
    public static final Comparator<TimelineEvent> ORDER = Comparator.comparingLong(TimelineEvent::timeMs)
            .thenComparing(TimelineEvent::process)
            .thenComparingLong(TimelineEvent::bootId)
            .thenComparingLong(TimelineEvent::sequence);

    private TimelineMerge() {}

    /**
     * Merges events.
     *
     * @param events the events of all processes; duplicates are removed
     * @param filter selects the events to keep
     * @param limit the maximum number of events; the latest are kept
     * @return the events in order of time
     */
    public static List<TimelineEvent> merge(Collection<TimelineEvent> events, TimelineFilter filter, int limit) {
        List<TimelineEvent> merged =
                events.stream().filter(filter::accepts).sorted(ORDER).distinct().toList();
        return merged.subList(Math.max(0, merged.size() - limit), merged.size());
    }
}

package org.hawthornglade.core.event;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Merges the events of several processes into one line.
 *
 * <p>The clocks of the processes may differ by a little, so the order between processes is only as good as they are;
 * the events of one process keep their order.
 */
public final class TimelineMerge {
    /** By time, and the events of one process in their order. */
    public static final Comparator<TimelineEvent> ORDER = Comparator.comparingLong(TimelineEvent::timeMs)
            .thenComparing(TimelineEvent::process)
            .thenComparingLong(TimelineEvent::bootId)
            .thenComparingLong(TimelineEvent::sequence);

    private TimelineMerge() {}

    /**
     * Merges events.
     *
     * @param events the events of all processes; an event that is there twice is kept once
     * @param filter which to keep
     * @param limit how many at most; the latest are kept
     * @return the events by time
     */
    public static List<TimelineEvent> merge(Collection<TimelineEvent> events, TimelineFilter filter, int limit) {
        List<TimelineEvent> merged =
                events.stream().filter(filter::accepts).sorted(ORDER).distinct().toList();
        return merged.subList(Math.max(0, merged.size() - limit), merged.size());
    }
}

package org.hawthornglade.entry.operator;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.hawthornglade.core.event.TimelineEvent;
import org.hawthornglade.core.event.TimelineMerge;

/**
 * The events of one request, and those that befell its model meanwhile.
 *
 * @param requestEvents the events that name the request
 * @param modelEvents the events without a request that name its model or base model, between its first and last event
 */
record RequestTimeline(List<TimelineEvent> requestEvents, List<TimelineEvent> modelEvents) {
    /**
     * Picks the story out of a merged time line.
     *
     * @param baseOf gives the base model behind a model's or adapter's name
     */
    static RequestTimeline of(String request, List<TimelineEvent> events, UnaryOperator<String> baseOf) {
        List<TimelineEvent> own =
                events.stream().filter(event -> request.equals(event.request())).toList();
        if (own.isEmpty()) {
            return new RequestTimeline(own, List.of());
        }
        Set<String> models =
                own.stream().map(TimelineEvent::model).filter(Objects::nonNull).collect(Collectors.toSet());
        models.addAll(models.stream().map(baseOf).toList());
        long fromMs = own.get(0).timeMs();
        long toMs = own.get(own.size() - 1).timeMs();
        List<TimelineEvent> ofModel = events.stream()
                .filter(event -> event.request() == null && event.model() != null)
                .filter(event -> models.contains(event.model()))
                .filter(event -> event.timeMs() >= fromMs && event.timeMs() <= toMs)
                .toList();
        return new RequestTimeline(own, ofModel);
    }

    /** Returns all events by time; the request's own are kept when there are too many. */
    List<TimelineEvent> merged(int limit) {
        Set<TimelineEvent> kept = new HashSet<>(requestEvents);
        modelEvents.stream().limit(Math.max(0, limit - requestEvents.size())).forEach(kept::add);
        return kept.stream().sorted(TimelineMerge.ORDER).toList();
    }
}

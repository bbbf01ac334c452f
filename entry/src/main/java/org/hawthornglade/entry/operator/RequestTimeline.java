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
 * The events of one request, and those of its model in the same period.
 *
 * @param requestEvents the events with the id of the request
 * @param modelEvents the events of its model or base model that belong to no request, between the first and last event
 *     of the request
 */
record RequestTimeline(List<TimelineEvent> requestEvents, List<TimelineEvent> modelEvents) {
    /**
     * Extracts the events of a request from a merged timeline.
     *
     * @param baseOf returns the name of the base model for the name of a model or adapter
     */
    static RequestTimeline of(String request, List<TimelineEvent> events, UnaryOperator<String> baseOf) {
        List<TimelineEvent> requestEvents =
                events.stream().filter(event -> request.equals(event.request())).toList();
        if (requestEvents.isEmpty()) {
            return new RequestTimeline(requestEvents, List.of());
        }
        Set<String> models = requestEvents.stream()
                .map(TimelineEvent::model)
                .filter(Objects::nonNull)
                .collect(Collectors.toSet());
        models.addAll(models.stream().map(baseOf).toList());
        long fromMs = requestEvents.get(0).timeMs();
        long toMs = requestEvents.get(requestEvents.size() - 1).timeMs();
        List<TimelineEvent> modelEvents = events.stream()
                .filter(event -> event.request() == null && event.model() != null)
                .filter(event -> models.contains(event.model()))
                .filter(event -> event.timeMs() >= fromMs && event.timeMs() <= toMs)
                .toList();
        return new RequestTimeline(requestEvents, modelEvents);
    }

    /** Returns the events by time; above the limit, events of the model are dropped, never those of the request. */
    List<TimelineEvent> merged(int limit) {
        Set<TimelineEvent> selected = new HashSet<>(requestEvents);
        modelEvents.stream().limit(Math.max(0, limit - requestEvents.size())).forEach(selected::add);
        return selected.stream().sorted(TimelineMerge.ORDER).toList();
    }
}

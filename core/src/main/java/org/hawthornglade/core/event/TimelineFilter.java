package org.hawthornglade.core.event;

/**
 * Selects events of a timeline.
 *
 * @param request only events of this request; null for all
 * @param model only events of this model, adapter or service; null for all
 * @param instance only events of this instance; null for all
 * @param fromMs only events at or after this time, in milliseconds since the Unix epoch
 * @param toMs only events before this time, in milliseconds since the Unix epoch
 */
public record TimelineFilter(String request, String model, String instance, long fromMs, long toMs) {
    /** Returns a filter that accepts all events. */
    public static TimelineFilter all() {
        return new TimelineFilter(null, null, null, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** Returns a filter that accepts the events of one request. */
    public static TimelineFilter ofRequest(String request) {
        return new TimelineFilter(request, null, null, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** Returns a filter that accepts the events of one model, adapter or service. */
    public static TimelineFilter ofModel(String model) {
        return new TimelineFilter(null, model, null, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** Returns whether the filter accepts an event. */
    public boolean accepts(TimelineEvent event) {
        return matches(request, event.request())
                && matches(model, event.model())
                && matches(instance, event.instance())
                && event.timeMs() >= fromMs
                && event.timeMs() < toMs;
    }

    private static boolean matches(String expected, String value) {
        return expected == null || expected.equals(value);
    }
}

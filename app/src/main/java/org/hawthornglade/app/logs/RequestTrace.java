package org.hawthornglade.app.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the log events of all entries that relate to one request: its end, and the events of its model, its instances
 * and the fleet meanwhile.
 */
final class RequestTrace {
    /** Events up to this long before the start of a request are included, since they may explain its outcome. */
    private static final long LEAD_TIME_MS = 2_000;

    private static final Set<String> FLEET_EVENTS = Set.of(
            "leader-won",
            "leader-lost",
            "leader-lost-lease",
            "leader-connected",
            "list-lost",
            "list-reachable",
            "config",
            "config-feed-lost",
            "start",
            "stopping",
            "stop",
            "lease-write-unknown");

    private final List<LogEvent> events;

    RequestTrace(List<LogEvent> events) {
        this.events = new ArrayList<>(events);
        this.events.sort(Comparator.comparingLong(LogEvent::atMs));
    }

    /** Returns the event logged at the end of a request, if there is one. */
    Optional<LogEvent> callEvent(String requestId) {
        for (LogEvent event : events) {
            if (event.get("event").equals("call") && event.get("request").equals(requestId)) {
                return Optional.of(event);
            }
        }
        return Optional.empty();
    }

    /** Returns the events of the request's model, its instances and the fleet while it was open, in order of time. */
    List<LogEvent> relatedEvents(LogEvent call) {
        long fromMs = call.atMs() - call.number("total_ms") - LEAD_TIME_MS;
        List<LogEvent> related = new ArrayList<>();
        for (LogEvent event : events) {
            boolean inPeriod = event.atMs() >= fromMs && event.atMs() <= call.atMs();
            if (inPeriod && (event == call || isRelated(call, event))) {
                related.add(event);
            }
        }
        return related;
    }

    private static boolean isRelated(LogEvent call, LogEvent event) {
        if (FLEET_EVENTS.contains(event.get("event"))) {
            return true;
        }
        if (event.get("event").equals("call")) {
            return false;
        }
        String model = call.get("model").split("/", 2)[0];
        boolean sameModel = !model.isEmpty() && event.get("model").equals(model);
        String instance = event.get("event").startsWith("instance") ? event.get("id") : event.get("instance");
        boolean sameInstance = !instance.isEmpty()
                && (call.get("instance").equals(instance) || call.get("notes").contains(instance));
        return sameModel || sameInstance;
    }
}

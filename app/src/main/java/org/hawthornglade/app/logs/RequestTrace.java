package org.hawthornglade.app.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** What the logs of all entries say around one request: its end, and what happened to what it needed meanwhile. */
final class RequestTrace {
    /** How long before the request events may still explain it. */
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

    /** Returns the line that ended a request, if it is there. */
    Optional<LogEvent> callEvent(String requestId) {
        for (LogEvent event : events) {
            if (event.get("event").equals("call") && event.get("request").equals(requestId)) {
                return Optional.of(event);
            }
        }
        return Optional.empty();
    }

    /** Returns, in order of time, what concerns the request's model, its instances and the fleet while it was open. */
    List<LogEvent> relatedEvents(LogEvent call) {
        long fromMs = call.atMs() - call.number("total_ms") - LEAD_TIME_MS;
        List<LogEvent> around = new ArrayList<>();
        for (LogEvent event : events) {
            boolean inTime = event.atMs() >= fromMs && event.atMs() <= call.atMs();
            if (inTime && (event == call || isRelated(call, event))) {
                around.add(event);
            }
        }
        return around;
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

package org.hawthornglade.node.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hawthornglade.core.event.TimelineEvent;

/**
 * Times requests by their time line events: how long each waited to be dispatched first, and how long it took in all.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestMetrics implements Consumer<TimelineEvent> {
    private static final String WAIT = "hawthornglade.request.wait";
    private static final String DURATION = "hawthornglade.request.duration";
    private static final int MAX_OPEN = 100_000;

    private final MeterRegistry registry;
    private final Map<String, Open> open = new LinkedHashMap<>();

    /** Creates timers. */
    public RequestMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    @Override
    public synchronized void accept(TimelineEvent event) {
        switch (event.kind()) {
            case REQUEST_RECEIVED -> received(event);
            case REQUEST_DISPATCHED -> dispatched(event);
            case REQUEST_ANSWERED, REQUEST_REFUSED -> ended(event);
            default -> {}
        }
    }

    private void received(TimelineEvent event) {
        open.put(event.request(), new Open(event.timeMs(), false));
        if (open.size() > MAX_OPEN) {
            open.remove(open.keySet().iterator().next());
        }
    }

    private void dispatched(TimelineEvent event) {
        Open request = open.get(event.request());
        if (request == null || request.dispatched()) {
            return;
        }
        open.put(event.request(), new Open(request.receivedAtMs(), true));
        record(WAIT, event, request);
    }

    private void ended(TimelineEvent event) {
        Open request = open.remove(event.request());
        if (request != null) {
            record(DURATION, event, request);
        }
    }

    private void record(String name, TimelineEvent event, Open request) {
        registry.timer(name, "code", Integer.toString(event.code()))
                .record(Duration.ofMillis(event.timeMs() - request.receivedAtMs()));
    }

    private record Open(long receivedAtMs, boolean dispatched) {}
}

package org.hawthornglade.node.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hawthornglade.core.event.TimelineEvent;

/**
 * Times requests by their timeline events: the wait until the first dispatch and the total duration.
 *
 * <p>Thread-safe.
 */
public final class RequestMetrics implements Consumer<TimelineEvent> {
    private static final String WAIT = "hawthornglade.request.wait";
    private static final String DURATION = "hawthornglade.request.duration";
    private static final int MAX_OPEN_REQUESTS = 100_000;

    private final MeterRegistry registry;
    private final Map<String, OpenRequest> openRequests = new LinkedHashMap<>();

    /** Creates a consumer that keeps timers in a registry. */
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
        openRequests.put(event.request(), new OpenRequest(event.timeMs(), false));
        if (openRequests.size() > MAX_OPEN_REQUESTS) {
            openRequests.remove(openRequests.keySet().iterator().next());
        }
    }

    private void dispatched(TimelineEvent event) {
        OpenRequest request = openRequests.get(event.request());
        if (request == null || request.dispatched()) {
            return;
        }
        openRequests.put(event.request(), new OpenRequest(request.receivedAtMs(), true));
        record(WAIT, event, request);
    }

    private void ended(TimelineEvent event) {
        OpenRequest request = openRequests.remove(event.request());
        if (request != null) {
            record(DURATION, event, request);
        }
    }

    private void record(String name, TimelineEvent event, OpenRequest request) {
        registry.timer(name, "code", Integer.toString(event.code()))
                .record(Duration.ofMillis(event.timeMs() - request.receivedAtMs()));
    }

    private record OpenRequest(long receivedAtMs, boolean dispatched) {}
}

package org.hawthornglade.node.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.function.Consumer;
import org.hawthornglade.core.event.TimelineEvent;

/** Counts timeline events by kind and result code. */
public final class EventMetrics implements Consumer<TimelineEvent> {
    private static final String EVENTS = "hawthornglade.events";

    private final MeterRegistry registry;

    /** Creates a consumer that counts in a registry. */
    public EventMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void accept(TimelineEvent event) {
        registry.counter(
                        EVENTS,
                        "kind",
                        event.kind().name().toLowerCase(Locale.ROOT),
                        "code",
                        Integer.toString(event.code()))
                .increment();
    }
}

package org.hawthornglade.gateway.metrics;

import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.result.ResultCode;

/**
 * Counts calls by service and result code, and their times.
 *
 * <p>Counting begins with {@link #start}, which an entry calls when its start is over, so that the start does not wait
 * for it.
 */
public final class GatewayMetrics {
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofMillis(1_000),
        Duration.ofMillis(2_500),
        Duration.ofMillis(10_000)
    };

    private final Map<String, AtomicInteger> gauges = new HashMap<>();
    private Optional<PrometheusMeterRegistry> registry = Optional.empty();

    /** Begins to count. */
    public void start() {
        if (registry.isEmpty()) {
            registry = Optional.of(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        }
    }

    /**
     * Counts a call that has ended.
     *
     * @param firstByteMs the time to the first byte of the answer; negative if there was none
     * @param totalMs the time to its end
     */
    public void onCall(ServiceName service, ResultCode code, long firstByteMs, long totalMs) {
        registry.ifPresent(to -> {
            timer(to, "hawthornglade_call", service, code).record(Duration.ofMillis(totalMs));
            if (firstByteMs >= 0) {
                timer(to, "hawthornglade_first_byte", service, code).record(Duration.ofMillis(firstByteMs));
            }
        });
    }

    private static Timer timer(PrometheusMeterRegistry to, String name, ServiceName service, ResultCode code) {
        return Timer.builder(name)
                .tag("service", service.value())
                .tag("code", Integer.toString(code.number()))
                .serviceLevelObjectives(BUCKETS)
                .register(to);
    }

    /** Counts an event, such as an order to an engine. */
    public void count(String name) {
        registry.ifPresent(to -> to.counter("hawthornglade_" + name).increment());
    }

    /** Sets a gauge, such as how many engines load a model. */
    public void set(String name, int value) {
        registry.ifPresent(to -> gauges.computeIfAbsent(
                        name, key -> to.gauge("hawthornglade_" + key, new AtomicInteger()))
                .set(value));
    }

    /** Returns all counters and histograms as text; empty before counting has begun. */
    public String text() {
        return registry.map(PrometheusMeterRegistry::scrape).orElse("");
    }
}

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
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.result.ResultCode;

/**
 * Records the number and the duration of calls by service and result code.
 *
 * <p>Recording begins with {@link #start}, which an entry calls after its startup, so that creating the registry does
 * not delay the startup.
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

    /** Starts recording. */
    public void start() {
        if (registry.isEmpty()) {
            registry = Optional.of(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        }
    }

    /**
     * Records a completed call.
     *
     * @param firstByteMs the time to the first byte of the response; negative if there was none
     * @param totalMs the time to the end of the call
     */
    public void onCall(ServiceName service, ResultCode code, long firstByteMs, long totalMs) {
        registry.ifPresent(meterRegistry -> {
            timer(meterRegistry, "hawthornglade_call", service, code).record(Duration.ofMillis(totalMs));
            if (firstByteMs >= 0) {
                timer(meterRegistry, "hawthornglade_first_byte", service, code).record(Duration.ofMillis(firstByteMs));
            }
        });
    }

    private static Timer timer(
            PrometheusMeterRegistry meterRegistry, String name, ServiceName service, ResultCode code) {
        return Timer.builder(name)
                .tag("service", service.value())
                .tag("code", Integer.toString(code.number()))
                .serviceLevelObjectives(BUCKETS)
                .register(meterRegistry);
    }

    /** Counts an event, such as an order to an engine. */
    public void count(String name) {
        registry.ifPresent(
                meterRegistry -> meterRegistry.counter("hawthornglade_" + name).increment());
    }

    /** Adds an amount to a counter, such as the bytes that were sent. */
    public void add(String name, long amount) {
        registry.ifPresent(
                meterRegistry -> meterRegistry.counter("hawthornglade_" + name).increment((double) amount));
    }

    /** Adds an amount to a counter of a team. */
    public void addForTeam(String name, TeamName team, long amount) {
        registry.ifPresent(meterRegistry -> meterRegistry
                .counter("hawthornglade_" + name, "team", team.value())
                .increment((double) amount));
    }

    /** Sets a gauge, such as the number of engines that load a model. */
    public void set(String name, int value) {
        registry.ifPresent(meterRegistry -> gauges.computeIfAbsent(
                        name, key -> meterRegistry.gauge("hawthornglade_" + key, new AtomicInteger()))
                .set(value));
    }

    /** Returns all metrics as text; empty before recording has started. */
    public String text() {
        return registry.map(PrometheusMeterRegistry::scrape).orElse("");
    }
}

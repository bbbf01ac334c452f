package org.hawthornglade.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.junit.jupiter.api.Test;

/** Guards against refusals that no counter shows, and against a log that misbehaving clients fill. */
class CallerPressureLogTest {
    private final ManualClock clock = new ManualClock(1_000);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final CallerPressureLog log = new CallerPressureLog(
            clock, new EventLog(clock, new PrintStream(written, true, StandardCharsets.UTF_8)), metrics);

    @Test
    void eachRefusalIsCountedAndEachCauseHasALineASecond() {
        metrics.start();
        log.onRefused("fields", 431, 4_096);
        log.onRefused("fields", 431, 4_096);
        log.onRefused("body_rate", 408, 1_024);
        log.onClosed("heads", 2_000, 1_000);
        clock.advance(1_000);
        log.onRefused("fields", 431, 4_096);
        assertThat(metrics.text()).contains("hawthornglade_callers_refused_fields_total 3.0");
        assertThat(metrics.text()).contains("hawthornglade_callers_refused_body_rate_total 1.0");
        assertThat(metrics.text()).contains("hawthornglade_callers_closed_heads_total 1.0");
        assertThat(lines(4)).isEqualTo("""
                        at=1000 event=caller-refused cause=fields status=431 limit=4096
                        at=1000 event=caller-refused cause=body_rate status=408 limit=1024
                        at=1000 event=caller-closed cause=heads held=2000 limit=1000
                        at=2000 event=caller-refused cause=fields status=431 limit=4096
                        """);
    }

    private String lines(int count) {
        long endNs = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (written.toString(StandardCharsets.UTF_8).lines().count() < count && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        return written.toString(StandardCharsets.UTF_8);
    }
}

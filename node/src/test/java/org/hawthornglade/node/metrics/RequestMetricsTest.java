package org.hawthornglade.node.metrics;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class RequestMetricsTest {
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final ManualClock clock = new ManualClock(1_000);
    private final Timeline timeline = new Timeline("entry-1", 10, clock, new RequestMetrics(registry));

    @Test
    void timesTheWaitUntilTheFirstDispatchAndTheTotalDuration() {
        record(EventKind.REQUEST_RECEIVED, "r-1", ResultCode.OK);
        clock.advance(200);
        record(EventKind.REQUEST_DISPATCHED, "r-1", ResultCode.OK);
        clock.advance(300);
        record(EventKind.REQUEST_DISPATCHED, "r-1", ResultCode.OK);
        clock.advance(100);
        record(EventKind.REQUEST_ANSWERED, "r-1", ResultCode.OK);

        assertThat(timer("hawthornglade.request.wait", "0").totalTime(TimeUnit.MILLISECONDS))
                .isEqualTo(200.0);
        assertThat(timer("hawthornglade.request.wait", "0").count()).isEqualTo(1);
        assertThat(timer("hawthornglade.request.duration", "0").totalTime(TimeUnit.MILLISECONDS))
                .isEqualTo(600.0);
    }

    @Test
    void tagsRefusalsWithTheirCode() {
        record(EventKind.REQUEST_RECEIVED, "r-1", ResultCode.OK);
        record(EventKind.REQUEST_REFUSED, "r-1", ResultCode.QUEUE_FULL);

        assertThat(timer("hawthornglade.request.duration", "2001").count()).isEqualTo(1);
    }

    private Timer timer(String name, String code) {
        return registry.get(name).tag("code", code).timer();
    }

    private void record(EventKind kind, String request, ResultCode code) {
        timeline.record(EventDraft.of(kind).request(request).code(code));
    }
}

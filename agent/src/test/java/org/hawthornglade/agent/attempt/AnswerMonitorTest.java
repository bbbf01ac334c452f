package org.hawthornglade.agent.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.protocol.frame.FrameWriter;
import org.junit.jupiter.api.Test;

/** Checks the timer's handling of answers that are slow, stalled, or whose entry has disconnected. */
final class AnswerMonitorTest {
    private static final AnswerTimeouts TIMEOUTS = new AnswerTimeouts(500, 2_000);

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final AtomicInteger aborts = new AtomicInteger();
    private long nowMs = 1_000;

    private AnswerMonitor monitor(OutputStream to) {
        FrameWriter writer = new FrameWriter(AttemptId.of("a1"), to);
        return new AnswerMonitor(writer, TIMEOUTS, () -> nowMs, aborts::incrementAndGet);
    }

    @Test
    void sendsKeepAliveWhileTheEndpointIsSlow() {
        AnswerMonitor monitor = monitor(out);
        nowMs += TIMEOUTS.keepAliveIntervalMs() - 1;
        monitor.tick();
        assertThat(out.size()).isEqualTo(0);
        nowMs++;
        monitor.tick();
        assertThat(out.size()).isGreaterThan(0);
        nowMs += TIMEOUTS.betweenBytesTimeoutMs();
        monitor.tick();
        assertThat(aborts.get()).isEqualTo(0);
    }

    @Test
    void abortsWhenTheEndpointFallsSilentMidAnswer() throws IOException {
        AnswerMonitor monitor = monitor(out);
        monitor.head(200, List.of());
        monitor.data(new byte[] {1}, 1);
        for (int i = 0; i < 4; i++) {
            nowMs += TIMEOUTS.keepAliveIntervalMs();
            monitor.tick();
        }
        assertThat(aborts.get()).isEqualTo(1);
        assertThat(monitor.endpointTimedOut()).isTrue();
    }

    @Test
    void abortsWhenTheEntryIsGoneBeforeTheEndpointAnswers() {
        AnswerMonitor monitor = monitor(new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                throw new IOException("closed");
            }
        });
        nowMs += TIMEOUTS.keepAliveIntervalMs();
        monitor.tick();
        assertThat(aborts.get()).isEqualTo(1);
        assertThrows(FrameSinkException.class, monitor::checkSink);
    }

    @Test
    void writesNoFrameAfterTheEnd() throws IOException {
        AnswerMonitor monitor = monitor(out);
        monitor.end();
        int size = out.size();
        nowMs += TIMEOUTS.betweenBytesTimeoutMs();
        monitor.tick();
        assertThat(out.size()).isEqualTo(size);
        assertThat(aborts.get()).isEqualTo(0);
    }

    @Test
    void appliesAStopRequestedBeforeTheCallStarts() {
        AttemptRegistry attempts = new AttemptRegistry(event -> {});
        attempts.onStartDecision(AttemptId.of("a1"), Optional.empty());
        attempts.stop(AttemptId.of("a1"));
        attempts.onCallPrepared(AttemptId.of("a1"), aborts::incrementAndGet);
        assertThat(aborts.get()).isEqualTo(1);
    }
}

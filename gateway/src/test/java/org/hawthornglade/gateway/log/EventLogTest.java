package org.hawthornglade.gateway.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.hawthornglade.core.time.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventLogTest {
    private static final long FLUSH_MS = 10_000;

    private final ManualClock clock = new ManualClock(100);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final EventLog log = new EventLog(clock, new PrintStream(written, true, StandardCharsets.UTF_8));

    private String text() {
        log.flush(FLUSH_MS);
        return written.toString(StandardCharsets.UTF_8);
    }

    private long calls() {
        return text().lines().filter(line -> line.contains("event=call ")).count();
    }

    /** Guards against a stop with many open calls, of which only some had a line. */
    @ParameterizedTest
    @ValueSource(ints = {EventLog.MAX_LINES_PER_S + 1, 5_000})
    void noLineOfAStopIsDropped(int lines) {
        log.onStop(clock.nowMs());
        for (int line = 0; line < lines; line++) {
            log.event("call").with("request", line).write();
        }
        assertThat(calls()).isEqualTo(lines);
    }

    /** Guards against a disk or pipe that is filled by repeated events. */
    @ParameterizedTest
    @ValueSource(ints = {EventLog.MAX_LINES_PER_S + 1, 5_000})
    void linesBeyondTheLimitAreCountedOutsideOfAStop(int lines) {
        for (int line = 0; line < lines; line++) {
            log.event("call").with("request", line).write();
        }
        clock.advance(1_000);
        log.event("last").write();
        assertThat(text()).contains("event=log-dropped lines=");
        assertThat(calls()).isAtMost(EventLog.MAX_LINES_PER_S);
    }

    /** Guards against lines of a stop that do not tell how long the stop had lasted. */
    @ParameterizedTest
    @ValueSource(longs = {0, 7_300})
    void linesOfAStopTellHowLongItHasLasted(long stopMs) {
        log.event("before").write();
        log.onStop(clock.nowMs());
        clock.advance(stopMs);
        log.event("call").with("request", "r-1").write();
        assertThat(text())
                .isEqualTo("at=100 event=before\nat=" + (100 + stopMs) + " event=call request=r-1 stop_ms=" + stopMs
                        + "\n");
    }
}

package org.hawthornglade.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GracefulStopTest {

    private long nowMs;

    /** An entry whose last open call ends at a given time. */
    private final class Entry implements GracefulStop.Steps {
        private final long lastCallEndsMs;
        private final List<String> steps = new ArrayList<>();

        Entry(long lastCallEndsMs) {
            this.lastCallEndsMs = lastCallEndsMs;
        }

        @Override
        public void begin() {
            steps.add("begin");
        }

        @Override
        public void startRefusing() {
            steps.add("refuse at " + nowMs / 100 * 100);
        }

        @Override
        public void failOpenCalls() {
            steps.add("fail at " + nowMs / 100 * 100);
        }

        @Override
        public void close() {
            steps.add("close at " + nowMs / 100 * 100);
        }

        @Override
        public int openCalls() {
            return nowMs < lastCallEndsMs ? 1 : 0;
        }
    }

    /** The caller of the last accepted connection was cut off without a response. */
    @ParameterizedTest
    @CsvSource({"0, 8000, 250", "60000, 8000, 0"})
    void lastAcceptedConnectionHasTimeToGetAResponse(long lastCallEndsMs, long graceMs, long minAfterCloseMs) {
        Entry entry = new Entry(lastCallEndsMs);
        long tookMs = new GracefulStop(() -> nowMs, ms -> nowMs += ms, graceMs, entry).run();
        long closedMs = Math.max(2_500, Math.min(lastCallEndsMs, graceMs - 700));
        assertThat(tookMs).isAtLeast(closedMs + minAfterCloseMs);
        assertThat(tookMs).isAtMost(graceMs);
    }

    @ParameterizedTest
    @CsvSource({"0, 8000, 2500", "4000, 8000, 4000", "60000, 8000, 7300", "60000, 2000, 1300"})
    void refusesAfterTheBalancerHasReactedAndEndsWithItsLastCall(long lastCallEndsMs, long graceMs, long closedMs) {
        Entry entry = new Entry(lastCallEndsMs);
        new GracefulStop(() -> nowMs, ms -> nowMs += ms, graceMs, entry).run();
        long refusedMs = Math.min(2_500, graceMs - 700);
        List<String> expected = new ArrayList<>(List.of("begin", "refuse at " + refusedMs, "close at " + closedMs));
        if (lastCallEndsMs > graceMs) {
            // A call that outlasts the grace was cut off without a response.
            expected.add(2, "fail at " + closedMs);
        }
        assertThat(entry.steps).containsExactlyElementsIn(expected).inOrder();
    }
}

package org.hawthornglade.gateway.leader;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoundPauseTest {
    /** Guards against planning rounds that take up most of the event loop. */
    @ParameterizedTest
    @CsvSource({"0, 10", "1, 10", "2, 18", "20, 180"})
    void pauseGrowsWithTheRound(long roundMs, long pauseMs) {
        assertThat(RoundPause.afterMs(roundMs)).isEqualTo(pauseMs);
    }

    /**
     * Guards against a leader that orders nothing for seconds after a slow round: the first one on a busy machine took
     * 700 ms, and calls whose model was on the engine's disk were refused during the 6.4 s that followed.
     */
    @ParameterizedTest
    @CsvSource({"50", "700", "5000"})
    void slowRoundDoesNotStopPlanningForLongerThanAHeartbeat(long roundMs) {
        assertThat(RoundPause.afterMs(roundMs)).isAtMost(300);
    }
}

package org.hawthornglade.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointHealthTest {
    private final EndpointHealth health = new EndpointHealth();

    @ParameterizedTest
    @CsvSource({"1, 500", "2, 1000", "3, 2000", "5, 8000", "9, 8000"})
    void thePauseDoublesUpToItsLimit(int failures, long pauseMs) {
        long nowMs = 0;
        long pausedAtMs = 0;
        for (int i = 0; i < failures; i++) {
            pausedAtMs = nowMs;
            health.onUnreachable(nowMs);
            while (health.inBackoff(nowMs)) {
                nowMs++;
            }
        }
        assertThat(nowMs - pausedAtMs).isEqualTo(pauseMs);
    }

    @Test
    void aLostAnswerPausesButDoesNotMakeUnreachable() {
        health.onResponseLost(0);
        assertThat(health.inBackoff(10)).isTrue();
        assertThat(health.unreachable(10)).isFalse();
    }

    @Test
    void aFailedConnectionMakesUnreachableUntilAGoodAnswer() {
        health.onUnreachable(0);
        assertThat(health.unreachable(10)).isTrue();
        health.onSuccess(20);
        assertThat(health.unreachable(30)).isFalse();
    }

    @Test
    void aSingleFailedAnswerDoesNotPause() {
        health.onFailure(0);
        assertThat(health.inBackoff(0)).isFalse();
    }

    @Test
    void anEndpointThatFailsPartOfItsCallsIsPaused() {
        for (int i = 0; i < 4; i++) {
            health.onFailure(i * 10L);
        }
        assertThat(health.inBackoff(31)).isTrue();
    }

    @Test
    void theFailureRateFadesWithoutNewOutcomes() {
        health.onFailure(0);
        double before = health.failureRate(0);
        assertThat(health.failureRate(4_000)).isWithin(1e-9).of(before / 2);
    }
}

package org.hawthornglade.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointHealthTest {
    private final EndpointHealth health = new EndpointHealth();

    @ParameterizedTest
    @CsvSource({"1, 500", "2, 1000", "3, 2000", "5, 8000", "9, 8000"})
    void backoffDoublesUpToItsMaximum(int failures, long backoffMs) {
        long nowMs = 0;
        long startedAtMs = 0;
        for (int i = 0; i < failures; i++) {
            startedAtMs = nowMs;
            health.onUnreachable(nowMs);
            while (health.inBackoff(nowMs)) {
                nowMs++;
            }
        }
        assertThat(nowMs - startedAtMs).isEqualTo(backoffMs);
    }

    @Test
    void lostResponseCausesBackoffButNotUnreachability() {
        health.onResponseLost(0);
        assertThat(health.inBackoff(10)).isTrue();
        assertThat(health.unreachable(10)).isFalse();
    }

    @Test
    void failedConnectionMakesUnreachableUntilASuccess() {
        health.onUnreachable(0);
        assertThat(health.unreachable(10)).isTrue();
        health.onSuccess(20);
        assertThat(health.unreachable(30)).isFalse();
    }

    @Test
    void singleFailureCausesNoBackoff() {
        health.onFailure(0);
        assertThat(health.inBackoff(0)).isFalse();
    }

    @Test
    void repeatedFailuresCauseBackoff() {
        for (int i = 0; i < 4; i++) {
            health.onFailure(i * 10L);
        }
        assertThat(health.inBackoff(31)).isTrue();
    }

    @Test
    void failureRateDecaysWithoutNewOutcomes() {
        health.onFailure(0);
        double before = health.failureRate(0);
        assertThat(health.failureRate(4_000)).isWithin(1e-9).of(before / 2);
    }
}

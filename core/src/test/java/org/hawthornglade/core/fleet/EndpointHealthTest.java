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
            while (health.paused(nowMs)) {
                nowMs++;
            }
        }
        assertThat(nowMs - pausedAtMs).isEqualTo(pauseMs);
    }

    @Test
    void aLostAnswerPausesButDoesNotMakeUnreachable() {
        health.onLost(0);
        assertThat(health.paused(10)).isTrue();
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
        assertThat(health.paused(0)).isFalse();
    }

    @Test
    void anEndpointThatFailsPartOfItsCallsIsPaused() {
        for (int i = 0; i < 4; i++) {
            health.onFailure(i * 10L);
        }
        assertThat(health.paused(31)).isTrue();
    }

    @Test
    void theFailureRateFadesWithoutNewOutcomes() {
        health.onFailure(0);
        double before = health.failureRate(0);
        assertThat(health.failureRate(4_000)).isWithin(1e-9).of(before / 2);
    }

    /** A server that turned a request away with a time to stay away was asked again at once. */
    @ParameterizedTest
    @CsvSource({"0, false", "500, false", "1999, false", "2000, true"})
    void anEndpointThatWantsNothingForATimeGetsNothingUntilThen(long afterMs, boolean takesCalls) {
        EndpointHealth shut = new EndpointHealth();
        shut.onShut(2_000, 10_000);
        assertThat(shut.takesCalls(10_000 + afterMs)).isEqualTo(takesCalls);
    }

    @ParameterizedTest
    @CsvSource({"2000, 300, 2000", "300, 2000, 2100", "2000, 2000, 2100"})
    void aLongerTimeExtendsAndAShorterOneCutsNothing(long firstMs, long secondMs, long untilMs) {
        EndpointHealth shut = new EndpointHealth();
        shut.onShut(firstMs, 0);
        shut.onShut(secondMs, 100);
        assertThat(shut.shutUntilMs()).isEqualTo(untilMs);
    }

    @Test
    void goodAnswersDoNotTakeBackThatAnEndpointLeavesOrIsShut() {
        EndpointHealth health = new EndpointHealth();
        health.onLeaving();
        health.onShut(5_000, 0);
        health.onSuccess(100);
        assertThat(health.leaving()).isTrue();
        assertThat(health.takesCalls(6_000)).isFalse();
        health.onRestart();
        assertThat(health.takesCalls(100)).isTrue();
    }
}

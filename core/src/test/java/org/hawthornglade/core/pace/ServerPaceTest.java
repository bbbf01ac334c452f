package org.hawthornglade.core.pace;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.hawthornglade.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServerPaceTest {
    private static final int SLOTS = 64;
    private static final String KIND = "generation";
    private static final double USUAL_MS = 100;

    private final ManualClock clock = new ManualClock(10_000);
    private final ServerPace pace = new ServerPace(SLOTS);

    private void respond(int responses, double measuredMs) {
        for (int i = 0; i < responses; i++) {
            clock.advance(20);
            pace.onResponse(KIND, measuredMs, USUAL_MS, (int) pace.limit().calls(), 1, clock.nowMs());
        }
    }

    /** A server at 0.55 or 1.2 of the usual speed was expected to be as fast as all others. */
    @ParameterizedTest
    @ValueSource(doubles = {0.55, 1, 1.2})
    void serviceRateIsLearnedFromResponses(double speed) {
        respond(40, USUAL_MS / speed);
        assertThat(pace.slowdown(KIND, clock.nowMs())).isWithin(0.1).of(1 / speed);
    }

    /** A momentary slowdown that the server states must not be learned as its usual rate as well. */
    @Test
    void statedSlowdownCountsOnceAndExpires() {
        for (int i = 0; i < 40; i++) {
            clock.advance(20);
            pace.stated().onStated(2.5, clock.nowMs());
            pace.onResponse(KIND, 2.5 * USUAL_MS, USUAL_MS, 1, 1, clock.nowMs());
        }
        assertThat(pace.slowdown(KIND, clock.nowMs())).isWithin(0.1).of(2.5);
        clock.advance(StatedSlowdown.VALID_MS);
        assertThat(pace.slowdown(KIND, clock.nowMs())).isWithin(0.1).of(1);
    }

    /** What was learned long ago must not keep a server that has recovered from being chosen. */
    @Test
    void learnedServiceRateFadesWithoutResponses() {
        respond(40, 4 * USUAL_MS);
        clock.advance(10 * PaceEstimator.HALF_LIFE_MS);
        assertThat(pace.slowdown(KIND, clock.nowMs())).isWithin(0.05).of(1);
        assertThat(pace.ageMs(KIND, clock.nowMs())).isEqualTo(10 * PaceEstimator.HALF_LIFE_MS);
    }

    /** A server that answers in time was left with the calls of its start for too long. */
    @Test
    void limitStartsLowAndGrowsToAllSlots() {
        assertThat(pace.limit().calls()).isEqualTo(SLOTS * ConcurrencyLimit.START_SHARE);
        respond(SLOTS, USUAL_MS);
        assertThat(pace.limit().calls()).isEqualTo(SLOTS);
    }

    /** A server that is permanently slow, such as one with 0.25 of the speed, must be filled as well. */
    @Test
    void limitOfASlowServerGrowsToo() {
        respond(200, 4 * USUAL_MS);
        assertThat(pace.limit().calls()).isEqualTo(SLOTS);
    }

    /** A burst of noise (2.5 times for 600 ms) must not lower the limit; lasting slowness must. */
    @ParameterizedTest
    @CsvSource({"600, true", "6000, false"})
    void limitFallsOnlyIfResponsesStaySlow(int slowMs, boolean kept) {
        respond(SLOTS, USUAL_MS);
        respond(slowMs / 20, 2.5 * USUAL_MS);
        assertThat(pace.limit().calls() == SLOTS).isEqualTo(kept);
    }

    /** Slowness at a server with few calls comes from other workloads or long prompts; it lowered the limit. */
    @ParameterizedTest
    @ValueSource(doubles = {2.5, 6})
    void limitIsKeptIfTheServerIsSlowWithFewCalls(double slowdown) {
        double start = pace.limit().calls();
        for (int i = 0; i < 300; i++) {
            clock.advance(20);
            pace.onResponse(KIND, (i < 20 ? 1 : slowdown) * USUAL_MS, USUAL_MS, 3, 1, clock.nowMs());
        }
        assertThat(pace.limit().calls()).isAtLeast(start);
    }

    /** A server that refuses or does not answer was sent as many calls as before. */
    @Test
    void limitFallsOnRefusalsAndTimeoutsButNotToZero() {
        respond(SLOTS, USUAL_MS);
        pace.limit().onRefused(clock.nowMs());
        double afterRefusal = pace.limit().calls();
        assertThat(afterRefusal).isLessThan(SLOTS);
        pace.limit().onTimeout(clock.nowMs());
        assertThat(pace.limit().calls()).isEqualTo(afterRefusal);
        for (int i = 0; i < 50; i++) {
            clock.advance(1_000);
            pace.limit().onTimeout(clock.nowMs());
        }
        assertThat(pace.limit().calls()).isEqualTo(SLOTS * ConcurrencyLimit.MIN_SHARE);
    }

    /** An entry without calls at a server kept the low limit of its start and never got in beside the others. */
    @Test
    void limitFollowsTheCallsOfOtherEntries() {
        for (int report = 1; report <= 20; report++) {
            clock.advance(300);
            pace.onReport(40, clock.nowMs(), clock.nowMs());
        }
        assertThat(pace.limit().calls()).isAtLeast(41.0);
    }

    /** Without a leader the entries' shares together must fall to what the server takes, but never to nothing. */
    @Test
    void shareDecaysToOneCallWithoutReports() {
        assertThat(pace.ownLimit(12, ServerPace.SHARE_VALID_MS - 1, 300)).isEqualTo(Double.MAX_VALUE);
        assertThat(pace.ownLimit(12, ServerPace.SHARE_VALID_MS + 1_000, 300)).isEqualTo(6);
        assertThat(pace.ownLimit(12, 60_000, 300)).isEqualTo(1);
        assertThat(pace.ownLimit(0, 60_000, 4)).isEqualTo(SLOTS * ConcurrencyLimit.START_SHARE / 4);
    }

    /** Entries that see the same free room took all of it each. */
    @ParameterizedTest
    @CsvSource({"31, 16", "300, 16", "31, 60"})
    void entriesThatContendTakeTheRoomOnce(int entries, int room) {
        Random seeds = new Random(5);
        int taken = 0;
        EntryShare[] shares = new EntryShare[entries];
        for (int i = 0; i < entries; i++) {
            shares[i] = new EntryShare(SLOTS);
        }
        for (long nowMs = 0; nowMs < 6_000; nowMs += 300) {
            int known = taken;
            for (EntryShare share : shares) {
                Random random = new Random(seeds.nextLong());
                while (share.mayStart(room - known, 0, known, entries, true, random, nowMs)) {
                    share.onStarted();
                    taken++;
                }
            }
        }
        assertThat(taken).isAtMost((int) (1.25 * room));
        assertThat(taken).isAtLeast(room / 2);
    }
}

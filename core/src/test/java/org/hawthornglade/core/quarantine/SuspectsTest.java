package org.hawthornglade.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.core.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class SuspectsTest {
    private static final long GAP_MS = Suspects.MIN_GAP_MS;
    private static final long LATER_MS = 100 * GAP_MS + Suspects.SETTLE_MS;
    private static final Suspect DEADLY = new Suspect("dead");

    private final Suspects suspects = new Suspects();

    /** Cuts off a call with the given parts, in the crash of an instance of its own. */
    private void crash(long atMs, String... parts) {
        InstanceCrash crash = new InstanceCrash(InstanceId.of("i-" + atMs), 1);
        suspects.onCrash(new CrashReport(
                crash, atMs, atMs, Stream.of(parts).map(Suspect::new).toList()));
    }

    private List<Suspect> blamed(long nowMs) {
        return suspects.blame(nowMs, Suspects.MIN_CRASHES)
                .map(Suspects.Blame::parts)
                .orElse(List.of());
    }

    /** A row: the multiples of the gap at which crashes happen, the time of a completed answer or -1, who is blamed. */
    static Stream<Arguments> series() {
        return Stream.of(
                Arguments.of("two crashes", List.of(1, 2), -1, false),
                Arguments.of("three crashes", List.of(1, 2, 3), -1, true),
                Arguments.of("three at one moment", List.of(1, 1, 1), -1, false),
                Arguments.of("completed after the first", List.of(1, 3, 4), 2, false),
                Arguments.of("completed after the last", List.of(1, 2, 3), 4, false),
                Arguments.of("completed before the first of three", List.of(2, 3, 4), 1, false),
                Arguments.of("completed before the first of five", List.of(2, 3, 4, 5, 6), 1, true),
                Arguments.of("completed before the last three of five", List.of(1, 2, 4, 5, 6), 3, false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("series")
    void partIsBlamedAfterSeparateCrashesWithoutACompletedAnswer(
            String name, List<Integer> crashes, int completed, boolean expected) {
        int number = 0;
        for (int at : crashes) {
            InstanceCrash crash = new InstanceCrash(InstanceId.of("i-" + number++), 1);
            suspects.onCrash(new CrashReport(crash, at * GAP_MS, at * GAP_MS, List.of(DEADLY)));
        }
        if (completed >= 0) {
            suspects.onCompleted(DEADLY, completed * GAP_MS);
        }
        assertThat(!blamed(LATER_MS).isEmpty()).isEqualTo(expected);
    }

    @Test
    void partThatExplainsAllCrashesIsBlamedAndTheOthersAreCleared() {
        crash(GAP_MS, "a", "dead");
        crash(GAP_MS, "a", "b");
        crash(2 * GAP_MS, "b", "dead");
        crash(3 * GAP_MS, "a", "dead");
        assertThat(blamed(LATER_MS)).containsExactly(DEADLY);
        assertThat(suspects.parts()).isEmpty();
    }

    /** A call that was cut off beside the deadly one is reported later, by another entry. */
    @Test
    void laterReportOfAnExplainedCrashBlamesNoPart() {
        for (int i = 1; i <= 3; i++) {
            crash(i * GAP_MS, "dead");
        }
        assertThat(blamed(LATER_MS)).containsExactly(DEADLY);
        for (int i = 1; i <= 3; i++) {
            crash(i * GAP_MS, "a");
        }
        assertThat(blamed(LATER_MS)).isEmpty();
    }

    @Test
    void ofTwoPartsThatExplainTheCrashesEquallyTheOneThatWasNeverCompletedIsBlamed() {
        for (int i = 1; i <= 3; i++) {
            crash(i * GAP_MS, "a", "dead");
        }
        suspects.onCompleted(new Suspect("a"), 0);
        assertThat(blamed(LATER_MS)).containsExactly(DEADLY);
    }

    @Test
    void partsThatWereInTheSameCrashesAreBlamedTogether() {
        for (int i = 1; i <= 3; i++) {
            crash(i * GAP_MS, "a", "dead");
        }
        assertThat(blamed(LATER_MS)).containsExactly(new Suspect("a"), DEADLY);
    }

    /** Each of two parts explains three of four crashes: only one more crash tells which is the cause. */
    @Test
    void partsThatExplainOtherCrashesEquallyWellAreToldApartByTheNextOne() {
        crash(GAP_MS, "a", "dead");
        crash(2 * GAP_MS, "a", "dead");
        crash(3 * GAP_MS, "a");
        crash(4 * GAP_MS, "dead");
        assertThat(blamed(LATER_MS)).isEmpty();
        crash(5 * GAP_MS, "dead");
        assertThat(blamed(LATER_MS)).containsExactly(DEADLY);
    }

    /** Reports and completed answers of other entries arrive a little later than the first report of a crash. */
    @Test
    void crashCountsOnlyAfterTheOtherReportsHaveArrived() {
        for (int i = 1; i <= 3; i++) {
            crash(i * GAP_MS, "dead");
        }
        long settledMs = 3 * GAP_MS + Suspects.SETTLE_MS;
        assertThat(blamed(settledMs - 1)).isEmpty();
        assertThat(blamed(settledMs)).containsExactly(DEADLY);
    }

    @Test
    void oldCrashesAreNotCounted() {
        crash(GAP_MS, "dead");
        crash(2 * GAP_MS, "dead");
        crash(3 * GAP_MS + Suspects.MAX_AGE_MS, "dead");
        assertThat(blamed(4 * GAP_MS + Suspects.MAX_AGE_MS)).isEmpty();
    }

    /** A caller that sends a million different parts must not displace the one that is in every crash. */
    @Test
    void numberOfSuspectsIsBoundedAndTheRecurringOneStays() {
        int number = 0;
        for (int i = 1; i <= 3; i++) {
            crash(i * GAP_MS, "dead");
            for (int j = 0; j < Suspects.MAX_SUSPECTS - 1; j++) {
                crash(i * GAP_MS + 1, "x" + number++);
            }
        }
        assertThat(suspects.parts()).hasSize(Suspects.MAX_SUSPECTS);
        assertThat(blamed(LATER_MS)).containsExactly(DEADLY);
    }
}

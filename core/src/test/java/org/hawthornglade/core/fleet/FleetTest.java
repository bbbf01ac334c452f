package org.hawthornglade.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.core.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class FleetTest {
    private static final InstanceId ID = InstanceId.of("i-1");
    private static final long CALM_MS = 60_000;

    private final Fleet fleet = new Fleet();

    private List<String> usable() {
        return fleet.usable(Records.SERVICE).stream()
                .map(endpoint -> endpoint.id().value())
                .sorted()
                .toList();
    }

    @Test
    void aLeavingInstanceTakesNothingNew() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onChanged(Records.leaving("i-1", List.of()), CALM_MS);
        assertThat(usable()).isEmpty();
    }

    static Stream<Arguments> laterRecords() {
        return Stream.of(
                Arguments.of("an older record comes late", 1L, 1L, true),
                Arguments.of("a newer one takes the word back", 1L, 9L, true),
                Arguments.of("an older start", 0L, 9L, true),
                Arguments.of("a new start under the same id", 5L, 1L, false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("laterRecords")
    void leavingIsFinalForOneStart(String name, long bornMs, long sequence, boolean staysLeft) {
        fleet.onSnapshot(List.of(Records.leaving("i-1", List.of())), 0);
        fleet.onChanged(Records.record("i-1", false, bornMs, sequence, List.of(), List.of()), CALM_MS);
        assertThat(usable().isEmpty()).isEqualTo(staysLeft);
    }

    @Test
    void aRemovedRecordRemovesTheInstanceWhileTheListIsCalm() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onRemoved(ID, CALM_MS);
        assertThat(usable()).isEmpty();
    }

    @Test
    void nothingIsRemovedWhileTheListIsLost() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onListLost();
        fleet.expire(CALM_MS);
        assertThat(usable()).containsExactly("i-1");
    }

    @ParameterizedTest
    @MethodSource("returns")
    void aRecordThatLapsedInAnOutageMayComeBackWithinTheBound(long afterReturnMs, boolean usable) {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onListLost();
        fleet.onSnapshot(List.of(), CALM_MS);
        fleet.expire(CALM_MS + afterReturnMs);
        assertThat(!usable().isEmpty()).isEqualTo(usable);
    }

    static Stream<Arguments> returns() {
        return Stream.of(Arguments.of(0L, true), Arguments.of(1_999L, true), Arguments.of(2_000L, false));
    }

    @Test
    void aRecordThatCameBackStays() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onListLost();
        fleet.onSnapshot(List.of(), CALM_MS);
        fleet.onChanged(Records.record("i-1", false, 1, 5, List.of(), List.of()), CALM_MS + 1_000);
        fleet.expire(CALM_MS + 5_000);
        assertThat(usable()).containsExactly("i-1");
    }

    @Test
    void aLeavingRecordThatIsMissingIsGoneAtOnce() {
        fleet.onSnapshot(List.of(Records.leaving("i-1", List.of())), 0);
        fleet.onListLost();
        fleet.onSnapshot(List.of(), CALM_MS);
        assertThat(fleet.all()).isEmpty();
    }

    @Test
    void aRestartForgetsWhatTheLeaderTold() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of("m"), List.of())), 0);
        fleet.onPlacement(new InstancePlacement(ID, 1, java.util.Map.of()));
        Endpoint endpoint = fleet.endpoint(ID).orElseThrow();
        assertThat(endpoint.replica(org.hawthornglade.core.id.ModelName.of("m")).isPresent())
                .isFalse();
        fleet.onChanged(Records.record("i-1", false, 7, 1, List.of("m"), List.of()), CALM_MS);
        assertThat(endpoint.replica(org.hawthornglade.core.id.ModelName.of("m")).isPresent())
                .isTrue();
    }

    static Stream<Arguments> recordsAfterItsWord() {
        return Stream.of(
                Arguments.of("the list still says ready", 1L, false, true),
                Arguments.of("it was off the list meanwhile", 1L, true, true),
                Arguments.of("it has started again", 5L, false, false),
                Arguments.of("it was off the list and has started again", 5L, true, false));
    }

    /** A server that says in an answer that it leaves was used on until the list said so too. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("recordsAfterItsWord")
    void anInstanceThatSaysItLeavesTakesNothingNewInThatStart(
            String name, long bornMs, boolean removed, boolean staysLeft) {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.endpoint(ID).orElseThrow().notices().leaving().receive();
        assertThat(usable()).isEmpty();
        if (removed) {
            fleet.onRemoved(ID, CALM_MS);
        }
        fleet.onChanged(Records.record("i-1", false, bornMs, 9, List.of(), List.of()), CALM_MS);
        assertThat(usable().isEmpty()).isEqualTo(staysLeft);
    }
}

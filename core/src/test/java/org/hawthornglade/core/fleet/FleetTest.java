package org.hawthornglade.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.core.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class FleetTest {
    private static final InstanceId ID = InstanceId.of("i-1");
    private static final long STABLE_MS = 60_000;

    private final Fleet fleet = new Fleet();

    private List<String> usable() {
        return fleet.usable(Records.SERVICE).stream()
                .map(endpoint -> endpoint.id().value())
                .sorted()
                .toList();
    }

    @Test
    void leavingInstanceIsNotUsable() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onChanged(Records.leaving("i-1", List.of()), STABLE_MS);
        assertThat(usable()).isEmpty();
    }

    static Stream<Arguments> laterRecords() {
        return Stream.of(
                Arguments.of("an older record arrives late", 1L, 1L, true),
                Arguments.of("a newer one is no longer leaving", 1L, 9L, true),
                Arguments.of("an older run", 0L, 9L, true),
                Arguments.of("a new run under the same id", 5L, 1L, false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("laterRecords")
    void leavingIsFinalForOneRun(String name, long bornMs, long sequence, boolean staysUnusable) {
        fleet.onSnapshot(List.of(Records.leaving("i-1", List.of())), 0);
        fleet.onChanged(Records.record("i-1", false, bornMs, sequence, List.of(), List.of()), STABLE_MS);
        assertThat(usable().isEmpty()).isEqualTo(staysUnusable);
    }

    /** An instance that has started again after a crash was avoided for the failures of its earlier run. */
    @ParameterizedTest
    @CsvSource({"1, true", "5, false"})
    void failuresCountForOneRunOnly(long bornMs, boolean avoided) {
        fleet.onSnapshot(List.of(Records.record("i-1", false, 1, 1, List.of(), List.of())), 0);
        fleet.endpoint(ID).orElseThrow().health().onUnreachable(STABLE_MS);
        fleet.onChanged(Records.record("i-1", false, bornMs, 2, List.of(), List.of()), STABLE_MS);
        EndpointHealth health = fleet.endpoint(ID).orElseThrow().health();
        assertThat(health.unreachable(STABLE_MS + 1)).isEqualTo(avoided);
        assertThat(health.inBackoff(STABLE_MS + 1)).isEqualTo(avoided);
        assertThat(health.failureRate(STABLE_MS + 1) > 0).isEqualTo(avoided);
    }

    @Test
    void removedRecordRemovesTheInstanceWhileTheListIsStable() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onRemoved(ID, STABLE_MS);
        assertThat(usable()).isEmpty();
    }

    @Test
    void nothingIsRemovedWhileTheListIsUnreachable() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onListLost();
        fleet.expire(STABLE_MS);
        assertThat(usable()).containsExactly("i-1");
    }

    @ParameterizedTest
    @MethodSource("returns")
    void recordThatExpiredInAnOutageMayReturnWithinTheTimeout(long afterReturnMs, boolean usable) {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onListLost();
        fleet.onSnapshot(List.of(), STABLE_MS);
        fleet.expire(STABLE_MS + afterReturnMs);
        assertThat(!usable().isEmpty()).isEqualTo(usable);
    }

    static Stream<Arguments> returns() {
        return Stream.of(Arguments.of(0L, true), Arguments.of(1_999L, true), Arguments.of(2_000L, false));
    }

    @Test
    void relistedRecordStays() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.onListLost();
        fleet.onSnapshot(List.of(), STABLE_MS);
        fleet.onChanged(Records.record("i-1", false, 1, 5, List.of(), List.of()), STABLE_MS + 1_000);
        fleet.expire(STABLE_MS + 5_000);
        assertThat(usable()).containsExactly("i-1");
    }

    @Test
    void missingRecordOfALeavingInstanceIsRemovedAtOnce() {
        fleet.onSnapshot(List.of(Records.leaving("i-1", List.of())), 0);
        fleet.onListLost();
        fleet.onSnapshot(List.of(), STABLE_MS);
        assertThat(fleet.all()).isEmpty();
    }

    @Test
    void restartClearsTheReportedPlacement() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of("m"), List.of())), 0);
        fleet.onPlacement(new InstancePlacement(ID, 1, java.util.Map.of()));
        Endpoint endpoint = fleet.endpoint(ID).orElseThrow();
        assertThat(endpoint.replica(org.hawthornglade.core.id.ModelName.of("m")).isPresent())
                .isFalse();
        fleet.onChanged(Records.record("i-1", false, 7, 1, List.of("m"), List.of()), STABLE_MS);
        assertThat(endpoint.replica(org.hawthornglade.core.id.ModelName.of("m")).isPresent())
                .isTrue();
    }

    static Stream<Arguments> recordsAfterTheNotice() {
        return Stream.of(
                Arguments.of("the list still shows it as ready", 1L, false, true),
                Arguments.of("it was off the list in between", 1L, true, true),
                Arguments.of("it has restarted", 5L, false, false),
                Arguments.of("it was off the list and has restarted", 5L, true, false));
    }

    /** Guards against using an instance that has announced in a response that it is leaving until the list shows it. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("recordsAfterTheNotice")
    void instanceThatAnnouncesLeavingIsNotUsableInThatRun(
            String name, long bornMs, boolean removed, boolean staysUnusable) {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
        fleet.endpoint(ID).orElseThrow().notices().leaving().markReceived();
        assertThat(usable()).isEmpty();
        if (removed) {
            fleet.onRemoved(ID, STABLE_MS);
        }
        fleet.onChanged(Records.record("i-1", false, bornMs, 9, List.of(), List.of()), STABLE_MS);
        assertThat(usable().isEmpty()).isEqualTo(staysUnusable);
    }
}

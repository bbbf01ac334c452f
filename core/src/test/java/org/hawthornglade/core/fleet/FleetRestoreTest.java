package org.hawthornglade.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.core.id.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is known of instances after the list was restored from an older copy. */
class FleetRestoreTest {
    private static final InstanceId ID = InstanceId.of("i-1");
    private static final long RESTORED_AT_MS = 60_000;

    private final Fleet fleet = new Fleet();

    private static InstanceRecord record(boolean leaving, long bornMs, long sequence) {
        return Records.record("i-1", leaving, bornMs, sequence, List.of(), List.of());
    }

    private List<String> usable() {
        return fleet.usable(Records.SERVICE).stream()
                .map(endpoint -> endpoint.id().value())
                .toList();
    }

    @BeforeEach
    void listTheInstance() {
        fleet.onSnapshot(List.of(record(false, 1, 5)), 0);
    }

    private void restore(List<InstanceRecord> records) {
        fleet.onListRestored(RESTORED_AT_MS);
        fleet.onSnapshot(records, RESTORED_AT_MS);
    }

    static Stream<Arguments> pastRecords() {
        return Stream.of(
                Arguments.of("it announced that it was leaving", true, record(false, 1, 5)),
                Arguments.of("it announced it, and the copy is older", true, record(false, 1, 3)),
                Arguments.of("its record was removed without an announcement", false, record(false, 1, 5)),
                Arguments.of("so it was, and the copy is older", false, record(false, 1, 3)),
                Arguments.of("the copy shows an earlier run", false, record(false, 0, 9)));
    }

    /** An instance that had left was taken for a new one when an older copy of the list named it again. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("pastRecords")
    void instanceThatHadLeftIsNotUsedAgain(String name, boolean announced, InstanceRecord past) {
        if (announced) {
            fleet.onChanged(record(true, 1, 6), 1_000);
        }
        fleet.onRemoved(ID, RESTORED_AT_MS - 1_000);
        restore(List.of(past));
        fleet.expire(RESTORED_AT_MS + 1_000);
        assertThat(usable()).isEmpty();
    }

    /** An instance that had announced its leaving was usable again once its record was removed and came back. */
    @ParameterizedTest
    @ValueSource(longs = {0, 6_000, 600_000})
    void announcementIsFinalForOneRunAlsoAfterItsRemoval(long afterMs) {
        fleet.onChanged(record(true, 1, 6), 1_000);
        fleet.onRemoved(ID, RESTORED_AT_MS - 1_000);
        restore(List.of(record(false, 1, 5)));
        fleet.onChanged(record(false, 1, 7), RESTORED_AT_MS + afterMs);
        fleet.expire(RESTORED_AT_MS + afterMs);
        assertThat(usable()).isEmpty();
    }

    static Stream<Arguments> laterRecords() {
        return Stream.of(
                Arguments.of("the instance has written again", record(false, 1, 6)),
                Arguments.of("another run has written", record(false, 9, 1)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("laterRecords")
    void instanceThatWritesAgainIsUsed(String name, InstanceRecord later) {
        fleet.onRemoved(ID, RESTORED_AT_MS - 1_000);
        restore(List.of(record(false, 1, 5)));
        fleet.onChanged(later, RESTORED_AT_MS + 500);
        assertThat(usable()).containsExactly("i-1");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("laterRecords")
    void instanceThatTheCopyShowsInALaterStateIsUsed(String name, InstanceRecord later) {
        fleet.onRemoved(ID, RESTORED_AT_MS - 1_000);
        restore(List.of(later));
        assertThat(usable()).containsExactly("i-1");
    }

    /** The platform removes the record of a silent instance, so one that stays is of an instance that serves. */
    @Test
    void recordThatOutlivesTheTimeOfSilentOnesIsUsed() {
        fleet.onRemoved(ID, RESTORED_AT_MS - 1_000);
        restore(List.of(record(false, 1, 5)));
        fleet.expire(RESTORED_AT_MS + Fleet.RESTORED_RECORD_MS - 1);
        assertThat(usable()).isEmpty();
        fleet.expire(RESTORED_AT_MS + Fleet.RESTORED_RECORD_MS);
        assertThat(usable()).containsExactly("i-1");
    }

    /** A restored record that the platform removes again is not used when its time has passed. */
    @Test
    void recordThatIsRemovedAgainIsNotUsed() {
        fleet.onRemoved(ID, RESTORED_AT_MS - 1_000);
        restore(List.of(record(false, 1, 5)));
        fleet.onRemoved(ID, RESTORED_AT_MS + 3_000);
        fleet.expire(RESTORED_AT_MS + Fleet.RESTORED_RECORD_MS);
        assertThat(usable()).isEmpty();
    }

    /** An instance that had registered after the copy was made was dropped until it wrote again. */
    @Test
    void instanceThatTheCopyDoesNotKnowStaysUntilItCanHaveWrittenAgain() {
        restore(List.of());
        fleet.expire(RESTORED_AT_MS + Fleet.RELIST_TIMEOUT_MS - 1);
        assertThat(usable()).containsExactly("i-1");
        fleet.expire(RESTORED_AT_MS + Fleet.RELIST_TIMEOUT_MS);
        assertThat(usable()).isEmpty();
    }
}

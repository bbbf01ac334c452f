package org.hawthornglade.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Placement of the replicas of one model over a few instances. */
final class PlacementTest {
    private static final Configuration TWO =
            Configurations.withModels(7, List.of(Configurations.model("quote", 1_000, 2)));
    private static final Configuration NONE = Configurations.withModels(7, List.of());

    private static PlacementInstance instance(String id, String domain, int memoryMb, Availability availability) {
        return new PlacementInstance(InstanceId.of(id), FailureDomain.of(domain), memoryMb, 2, availability);
    }

    private static AssignmentRow row(int ordinal, String instance, AssignmentState state) {
        return new AssignmentRow(new Assignment(ModelName.of("quote"), ordinal, InstanceId.of(instance), state, 3), 5);
    }

    @Test
    void spreadsReplicasOverFailureDomains() {
        PlacementResult result = Placement.decide(
                TWO,
                List.of(
                        instance("a", "east", 9_000, Availability.AVAILABLE),
                        instance("b", "east", 9_000, Availability.AVAILABLE),
                        instance("c", "west", 2_000, Availability.AVAILABLE)),
                List.of());
        assertThat(result.changes().stream()
                        .map(change -> change.assignment().instance().value()))
                .containsExactly("a", "c");
        assertThat(result.unplaced()).isEmpty();
    }

    @Test
    void reportsReplicasThatFitNowhere() {
        PlacementResult result =
                Placement.decide(TWO, List.of(instance("a", "east", 999, Availability.AVAILABLE)), List.of());
        assertThat(result.changes()).isEmpty();
        assertThat(result.unplaced()).hasSize(2);
    }

    static Stream<Arguments> oneRow() {
        return Stream.of(
                Arguments.of("kept", TWO, AssignmentState.HELD, Availability.AVAILABLE, null),
                Arguments.of("silent holder keeps it", TWO, AssignmentState.HELD, Availability.SILENT, null),
                Arguments.of("unlisted holder keeps it", TWO, AssignmentState.HELD, null, null),
                Arguments.of("leaving", TWO, AssignmentState.HELD, Availability.LEAVING, RowChange.Kind.RELEASE),
                Arguments.of("still releasing", TWO, AssignmentState.RELEASING, Availability.AVAILABLE, null),
                Arguments.of("still releasing, silent", TWO, AssignmentState.RELEASING, Availability.SILENT, null),
                Arguments.of("released", TWO, AssignmentState.RELEASED, Availability.LEAVING, RowChange.Kind.MOVE),
                Arguments.of("gone", TWO, AssignmentState.HELD, Availability.GONE, RowChange.Kind.MOVE),
                Arguments.of("gone, releasing", TWO, AssignmentState.RELEASING, Availability.GONE, RowChange.Kind.MOVE),
                Arguments.of("surplus", NONE, AssignmentState.HELD, Availability.AVAILABLE, RowChange.Kind.RELEASE),
                Arguments.of("surplus, unlisted", NONE, AssignmentState.HELD, null, RowChange.Kind.RELEASE),
                Arguments.of("surplus, releasing", NONE, AssignmentState.RELEASING, Availability.SILENT, null),
                Arguments.of(
                        "surplus, released",
                        NONE,
                        AssignmentState.RELEASED,
                        Availability.AVAILABLE,
                        RowChange.Kind.DELETE),
                Arguments.of("surplus, gone", NONE, AssignmentState.HELD, Availability.GONE, RowChange.Kind.DELETE));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("oneRow")
    void decidesOneRowByItsStateAndHolder(
            String name, Configuration configuration, AssignmentState state, Availability holder, RowChange.Kind kind) {
        List<PlacementInstance> spare = List.of(instance("z", "west", 9_000, Availability.AVAILABLE));
        List<PlacementInstance> instances =
                holder == null ? spare : List.of(spare.get(0), instance("a", "east", 9_000, holder));

        PlacementResult result = Placement.decide(configuration, instances, List.of(row(0, "a", state)));

        assertThat(result.changes().stream()
                        .filter(change -> change.revision() == 5)
                        .map(RowChange::kind))
                .containsExactlyElementsIn(kind == null ? List.of() : List.of(kind));
    }

    @Test
    void releasesARowThatNoLongerFitsItsHolder() {
        PlacementResult result = Placement.decide(
                TWO,
                List.of(instance("a", "east", 500, Availability.AVAILABLE)),
                List.of(row(0, "a", AssignmentState.HELD)));
        assertThat(result.changes().get(0).kind()).isEqualTo(RowChange.Kind.RELEASE);
    }
}

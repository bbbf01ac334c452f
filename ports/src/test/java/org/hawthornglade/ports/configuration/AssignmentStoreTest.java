package org.hawthornglade.ports.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.RowChange;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.table.FakeTable.Fault;
import org.junit.jupiter.api.Test;

final class AssignmentStoreTest {
    private static final InstanceId A = InstanceId.of("a");

    private final TwoOffices offices = new TwoOffices().withFirstConfiguration();
    private final AssignmentStore store = offices.assignments;
    private final ConfigurationHead head = offices.configurations.head().get();

    private static RowChange insert(int ordinal) {
        return new RowChange(
                RowChange.Kind.INSERT,
                new Assignment(ModelName.of("quote"), ordinal, A, AssignmentState.HELD, 1),
                0,
                "new replica");
    }

    @Test
    void writesInBatches() {
        List<RowChange> changes = new ArrayList<>();
        for (int ordinal = 0; ordinal < 120; ordinal++) {
            changes.add(insert(ordinal));
        }
        int before = offices.table.transactions();

        assertThat(store.apply(changes, head).get()).isEqualTo(changes);

        assertThat(offices.table.transactions() - before).isEqualTo(3);
        assertThat(store.rowsOf(A).get()).hasSize(120);
    }

    @Test
    void aChangedRowDoesNotFailTheOthersOfItsBatch() {
        store.apply(List.of(insert(1)), head).get();

        List<RowChange> written =
                store.apply(List.of(insert(0), insert(1), insert(2)), head).get();

        assertThat(written).containsExactly(insert(0), insert(2));
    }

    @Test
    void writesNothingForAnOutdatedConfiguration() {
        Plan plan = offices.north
                .plan(TwoOffices.NORTH, TwoOffices.setting("maxReplicas", 0))
                .get();
        offices.north.confirm(TwoOffices.NORTH, plan.id()).get();

        var outcome = store.apply(List.of(insert(0)), head);

        assertThat(outcome.getLeft().code()).isEqualTo(ResultCode.STALE_PLAN);
        assertThat(store.rows().get()).isEmpty();
    }

    @Test
    void doesNotRepeatATransactionAfterALostReply() {
        offices.table.failTransactions(List.of(Fault.LOST_AFTER));
        assertThat(store.apply(List.of(insert(0)), head).getLeft().code())
                .isEqualTo(ResultCode.PLATFORM_OUTCOME_UNKNOWN);
        assertThat(store.rows().get()).hasSize(1);
    }

    @Test
    void releasesARowOnlyIfItIsUnchanged() {
        store.apply(List.of(insert(0)), head).get();
        AssignmentRow read = store.rowsOf(A).get().get(0);

        assertThat(store.release(read).get()).isTrue();
        assertThat(store.release(read).get()).isFalse();

        assertThat(store.rows().get().get(0).assignment().state()).isEqualTo(AssignmentState.RELEASED);
    }
}

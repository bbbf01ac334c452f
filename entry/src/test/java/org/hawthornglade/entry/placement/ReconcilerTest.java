package org.hawthornglade.entry.placement;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.List;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ReconcilerTest {
    private final Cluster cluster = new Cluster();

    @Test
    void aSecondEntryDoesNotRepeatTheFirstEntrysWrites() {
        cluster.confirm(2);
        cluster.addInstance("a", Availability.AVAILABLE);
        cluster.addInstance("b", Availability.AVAILABLE);

        assertThat(cluster.first.run().get()).isEqualTo(2);
        assertThat(cluster.second.run().get()).isEqualTo(0);

        assertThat(cluster.rows()).hasSize(2);
    }

    @Test
    void anEntryWithAnOldConfigurationFetchesTheNewestBeforeItWrites() {
        cluster.confirm(1);
        cluster.addInstance("a", Availability.AVAILABLE);
        cluster.addInstance("b", Availability.AVAILABLE);
        cluster.first.run().get();
        cluster.confirm(2);

        assertThat(cluster.second.run().get()).isEqualTo(1);

        assertThat(cluster.secondHolder.current().version()).isEqualTo(2);
    }

    @ParameterizedTest
    @CsvSource({"false,HELD,b", "true,RELEASING,a"})
    void aGoneInstanceThatRespondsKeepsItsRows(boolean responds, AssignmentState state, String holder) {
        cluster.confirm(1);
        cluster.addInstance("a", Availability.AVAILABLE);
        cluster.first.run().get();
        cluster.addInstance("a", Availability.GONE);
        cluster.addInstance("b", Availability.AVAILABLE);
        cluster.goneInstancesRespond = responds;

        cluster.first.run().get();

        AssignmentRow row = cluster.rows().get(0);
        assertThat(row.assignment().state()).isEqualTo(state);
        assertThat(row.assignment().instance()).isEqualTo(InstanceId.of(holder));
    }

    @Test
    void doublesTheWaitWhileTheTableServiceFails() {
        long first = ReconcilerLoop.nextWaitMs(failed(ResultCode.PLATFORM_UNAVAILABLE), 3_000);
        assertThat(first).isEqualTo(6_000);
        assertThat(ReconcilerLoop.nextWaitMs(failed(ResultCode.PLATFORM_UNAVAILABLE), 20_000))
                .isEqualTo(30_000);
        assertThat(ReconcilerLoop.nextWaitMs(failed(ResultCode.STALE_PLAN), 20_000))
                .isEqualTo(3_000);
    }

    private static Either<Failure, Integer> failed(ResultCode code) {
        return Either.left(Failure.of(code, "x"));
    }

    @Test
    void readsTwiceAndWritesNothingWhenNoChangeIsNeeded() {
        cluster.confirm(1);
        cluster.addInstance("a", Availability.AVAILABLE);
        cluster.first.run().get();
        var before = cluster.table.calls();

        cluster.first.run().get();

        var after = cluster.table.calls();
        assertThat(after.reads() + after.scans() - before.reads() - before.scans())
                .isEqualTo(2);
        assertThat(after.transactions()).isEqualTo(before.transactions());
        assertThat(List.of(cluster.rows().get(0).assignment().state())).containsExactly(AssignmentState.HELD);
    }
}

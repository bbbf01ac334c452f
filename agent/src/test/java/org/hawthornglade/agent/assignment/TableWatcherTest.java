package org.hawthornglade.agent.assignment;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.configuration.AssignmentStore;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.Write;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.fault.FaultyCalls;
import org.hawthornglade.standin.table.FaultyTableService;
import org.hawthornglade.standin.table.InMemoryTableService;
import org.hawthornglade.standin.table.TableSettings;
import org.junit.jupiter.api.Test;

/** Checks two processes of one instance that share the table service, and lost replies. */
final class TableWatcherTest {
    private static final InstanceId INSTANCE = InstanceId.of("engine-1");
    private static final Clock CLOCK = () -> 1_000;

    private final InMemoryTableService table = new InMemoryTableService(SETTINGS, CLOCK);

    private static final TableSettings SETTINGS = new TableSettings("table", 0, 0, 0, null);

    private static Assignment releasing() {
        return new Assignment(ModelName.of("quote"), 0, INSTANCE, AssignmentState.RELEASING, 1);
    }

    private TableWatcher watcher(String process, List<AgentEvent> events) {
        return new TableWatcher(
                INSTANCE,
                new FenceStore(table, INSTANCE, process),
                new AssignmentStore(table),
                new ConfigurationStore(table),
                new ConfigurationHolder(),
                CLOCK,
                events::add);
    }

    private AssignmentRow insertRow() {
        Write write = Write.put(Assignment.TABLE, releasing().key(), PlatformJson.write(releasing()));
        assertThat(table.transact(new Transaction(List.of(), List.of(write))).isRight())
                .isTrue();
        return new AssignmentStore(table).rowsOf(INSTANCE).get().get(0);
    }

    /**
     * Guards against the older process releasing a model that the newer one may still load; found by
     * AgentPropertyTest.
     */
    @Test
    void supersededProcessCannotReleaseARow() {
        AssignmentRow row = insertRow();
        List<AgentEvent> events = new ArrayList<>();
        TableWatcher older = watcher("older", events);
        older.poll();
        watcher("newer", new ArrayList<>()).poll();
        older.release(row);
        assertThat(events).contains(new AgentEvent.RowNotReleased(row));
        assertThat(new AssignmentStore(table).rowsOf(INSTANCE).get()).containsExactly(row);
    }

    @Test
    void holderOfTheNewestNumberReleasesARow() {
        AssignmentRow row = insertRow();
        List<AgentEvent> events = new ArrayList<>();
        TableWatcher watcher = watcher("only", events);
        watcher.poll();
        watcher.renewFence();
        watcher.release(row);
        assertThat(events).contains(new AgentEvent.RowReleased(row));
    }

    @Test
    void supersededProcessReportsTheLostFence() {
        List<AgentEvent> events = new ArrayList<>();
        TableWatcher older = watcher("older", events);
        older.poll();
        watcher("newer", new ArrayList<>()).poll();
        older.renewFence();
        assertThat(events).contains(new AgentEvent.FenceLost());
        older.poll();
        assertThat(events).doesNotContain(new AgentEvent.FenceTaken(3));
    }

    @Test
    void recognisesItsNumberAfterALostReply() {
        FaultScript loseAll = new FaultScript(0, 0, 0, false, 0, 0, 1, 0, false, 0, 0, false, 0);
        FaultInjector faults = new FaultInjector(loseAll);
        FenceStore store = new FenceStore(new FaultyTableService(table, new FaultyCalls(faults, 0)), INSTANCE, "only");
        assertThat(store.take(0).isLeft()).isTrue();
        assertThat(store.take(0).get()).isEqualTo(1);
    }
}

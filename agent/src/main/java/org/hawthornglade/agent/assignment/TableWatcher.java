package org.hawthornglade.agent.assignment;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.platform.configuration.AssignmentStore;
import org.hawthornglade.platform.configuration.ConfigurationStore;

/** Reads what the table service holds for one instance: its fencing number, its assignments and the configuration. */
public final class TableWatcher {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long NOT_TAKEN = 0;

    private final InstanceId instance;
    private final FenceStore fences;
    private final AssignmentStore assignments;
    private final ConfigurationStore configurations;
    private final ConfigurationHolder holder;
    private final Consumer<AgentEvent> events;
    private final Map<String, AssignmentRow> rows = new ConcurrentHashMap<>();
    private long fence = NOT_TAKEN;

    /** Creates a watcher; {@link #poll} and {@link #release} are called on one thread. */
    public TableWatcher(
            InstanceId instance,
            FenceStore fences,
            AssignmentStore assignments,
            ConfigurationStore configurations,
            ConfigurationHolder holder,
            Consumer<AgentEvent> events) {
        this.instance = instance;
        this.fences = fences;
        this.assignments = assignments;
        this.configurations = configurations;
        this.holder = holder;
        this.events = events;
    }

    /** Reads everything once; what cannot be read stays as it was. */
    public void poll() {
        if (!checkFence()) {
            return;
        }
        assignments
                .rowsOf(instance)
                .peek(this::tellAssignments)
                .peekLeft(failure -> logFailure("assignments", failure));
        configurations
                .newerThan(holder.current().version())
                .peek(newer -> newer.ifPresent(holder::offer))
                .peekLeft(failure -> logFailure("configuration", failure));
    }

    /** Writes that a row is released. */
    public void release(Assignment assignment) {
        AssignmentRow row = rows.get(assignment.key());
        boolean released = row != null && assignments.release(row).getOrElse(false);
        events.accept(released ? new AgentEvent.RowReleased(assignment) : new AgentEvent.RowNotReleased(assignment));
    }

    /** Takes a fencing number at first, and later makes sure that no other process has taken a newer one. */
    private boolean checkFence() {
        if (fence == NOT_TAKEN) {
            fences.take().peek(this::tookFence).peekLeft(failure -> logFailure("fence", failure));
            return fence != NOT_TAKEN;
        }
        Either<Failure, Long> current = fences.current();
        if (current.isRight() && current.get() > fence) {
            LOG.atSevere().log("event=fence_lost mine=%d current=%d", fence, current.get());
            events.accept(new AgentEvent.FenceLost());
            return false;
        }
        return true;
    }

    private void tookFence(long number) {
        fence = number;
        events.accept(new AgentEvent.FenceTaken(number));
    }

    private void tellAssignments(List<AssignmentRow> read) {
        rows.clear();
        read.forEach(row -> rows.put(row.assignment().key(), row));
        events.accept(new AgentEvent.AssignmentsRead(
                read.stream().map(AssignmentRow::assignment).toList()));
    }

    private static void logFailure(String what, Failure failure) {
        LOG.atWarning().log(
                "event=table_read_failed what=%s code=%d detail=\"%s\"",
                what, failure.code().number(), failure.message());
    }
}

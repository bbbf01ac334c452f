package org.hawthornglade.agent.assignment;

import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.configuration.AssignmentStore;
import org.hawthornglade.ports.configuration.ConfigurationStore;

/**
 * Polls the table service for one instance's fencing number and assignments and for the configuration.
 *
 * <p>All methods block and must be called on one thread.
 */
public final class TableWatcher {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long NO_FENCE = 0;

    private final InstanceId instance;
    private final FenceStore fences;
    private final AssignmentStore assignments;
    private final ConfigurationStore configurations;
    private final ConfigurationHolder holder;
    private final Clock clock;
    private final Consumer<AgentEvent> events;
    private long fence = NO_FENCE;
    private boolean fenceLost;
    private long readSequence;

    /** Creates a watcher that has read nothing yet. */
    public TableWatcher(
            InstanceId instance,
            FenceStore fences,
            AssignmentStore assignments,
            ConfigurationStore configurations,
            ConfigurationHolder holder,
            Clock clock,
            Consumer<AgentEvent> events) {
        this.instance = instance;
        this.fences = fences;
        this.assignments = assignments;
        this.configurations = configurations;
        this.holder = holder;
        this.clock = clock;
        this.events = events;
    }

    /** Reads everything once; anything that cannot be read keeps its previous state. */
    public void poll() {
        if (fence == NO_FENCE) {
            takeFence();
        } else {
            checkFence();
        }
        if (fence == NO_FENCE || fenceLost) {
            return;
        }
        readAssignments();
        configurations
                .newerThan(holder.current().version())
                .peek(newer -> newer.ifPresent(holder::offer))
                .peekLeft(failure -> logFailure("configuration", failure));
    }

    /** Checks that no other process has taken a newer fencing number. */
    public void checkFence() {
        long startedAtMs = clock.nowMs();
        fences.holdsNewest()
                .peek(held -> onFenceChecked(held, startedAtMs))
                .peekLeft(failure -> logFailure("fence", failure));
    }

    /** Takes a newer fencing number. */
    public void renewFence() {
        if (!fenceLost) {
            takeFence();
        }
    }

    /**
     * Marks a row as released, unless another process has taken a newer fencing number: only the process with the
     * newest number knows which loads may still be ordered from the engine.
     */
    public void release(AssignmentRow row) {
        boolean released = fences.newestHeldCondition()
                .flatMap(held -> assignments.release(row, held))
                .getOrElse(false);
        events.accept(released ? new AgentEvent.RowReleased(row) : new AgentEvent.RowNotReleased(row));
    }

    private void takeFence() {
        fences.take(fence).peek(this::onFenceTaken).peekLeft(this::onFenceNotTaken);
    }

    private void onFenceTaken(long number) {
        fence = number;
        events.accept(new AgentEvent.FenceTaken(number));
    }

    private void onFenceNotTaken(Failure failure) {
        logFailure("fence", failure);
        if (failure.code() == ResultCode.STALE_FENCING_NUMBER) {
            onFenceLost();
        }
    }

    private void onFenceChecked(boolean held, long startedAtMs) {
        if (held) {
            events.accept(new AgentEvent.FenceChecked(startedAtMs));
        } else {
            onFenceLost();
        }
    }

    private void onFenceLost() {
        fenceLost = true;
        LOG.atSevere().log("event=fence_lost mine=%d", fence);
        events.accept(new AgentEvent.FenceLost());
    }

    private void readAssignments() {
        readSequence++;
        long sequence = readSequence;
        assignments
                .rowsOf(instance)
                .peek(rows -> events.accept(new AgentEvent.AssignmentsRead(sequence, rows)))
                .peekLeft(failure -> logFailure("assignments", failure));
    }

    private static void logFailure(String what, Failure failure) {
        LOG.atWarning().log(
                "event=table_read_failed what=%s code=%d detail=\"%s\"",
                what, failure.code().number(), failure.message());
    }
}

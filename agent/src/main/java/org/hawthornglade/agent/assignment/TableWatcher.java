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
 * Reads what the table service holds for one instance: its fencing number, its assignments and the configuration.
 *
 * <p>All calls are made on one thread and block.
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

    /** Reads everything once; what cannot be read stays as it was. */
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

    /** Makes sure that no other process has taken a newer fencing number. */
    public void checkFence() {
        long beganAtMs = clock.nowMs();
        fences.holdsNewest().peek(mine -> onFenceChecked(mine, beganAtMs)).peekLeft(failure -> logFailure("fence", failure));
    }

    /** Takes a newer fencing number. */
    public void renewFence() {
        if (!fenceLost) {
            takeFence();
        }
    }

    /**
     * Writes that a row is released, unless another process has taken a newer fencing number: only the newest process
     * knows what the engine may still be ordered to load.
     */
    public void release(AssignmentRow row) {
        boolean released = fences.newestHeldCondition()
                .flatMap(mine -> assignments.release(row, mine))
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

    private void onFenceChecked(boolean mine, long beganAtMs) {
        if (mine) {
            events.accept(new AgentEvent.FenceChecked(beganAtMs));
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

package org.hawthornglade.core.agent;

import java.util.List;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Failure;

/** What an agent's decisions take in. */
public sealed interface AgentEvent {
    /** Time has passed. */
    record Tick() implements AgentEvent {}

    /** A new fencing number for the instance was taken in the table service. */
    record FenceTaken(long number) implements AgentEvent {}

    /** A newer fencing number exists: another agent process has taken over the instance. */
    record FenceLost() implements AgentEvent {}

    /**
     * The table service showed no newer fencing number.
     *
     * @param checkedAtMs when the read began, in milliseconds
     */
    record FenceChecked(long checkedAtMs) implements AgentEvent {}

    /**
     * The rows assigned to this instance were read from the table service.
     *
     * @param readSequence grows with every read, in the order in which the reads began
     * @param rows the rows
     */
    record AssignmentsRead(long readSequence, List<AssignmentRow> rows) implements AgentEvent {
        /** Copies the list. */
        public AssignmentsRead {
            rows = List.copyOf(rows);
        }
    }

    /** The table service took this row as released. */
    record RowReleased(AssignmentRow row) implements AgentEvent {}

    /** Releasing this row failed, or its outcome is unknown; it will be tried again. */
    record RowNotReleased(AssignmentRow row) implements AgentEvent {}

    /** A configuration came into force. */
    record ConfigurationApplied(Configuration configuration) implements AgentEvent {}

    /** The engine reported. */
    record EngineReported(EngineReport report) implements AgentEvent {}

    /** The endpoint does not answer. */
    record EndpointLost() implements AgentEvent {}

    /** The endpoint, a plain service, answers. */
    record EndpointFound() implements AgentEvent {}

    /**
     * The engine took in an order.
     *
     * @param order the order
     * @param orderSequence its number in the engine's run
     * @param bootId the engine's run
     */
    record OrderTaken(EngineOrder order, long orderSequence, long bootId) implements AgentEvent {}

    /** The engine refused an order, or it was lost. */
    record OrderFailed(EngineOrder order, Failure failure) implements AgentEvent {}

    /**
     * An entry told what it wants; it replaces what the same entry told before.
     *
     * @param entryId the entry
     * @param bootId the start time of its process in milliseconds
     * @param sequence grows with every report of that process, over all its connections
     * @param demand what it wants
     */
    record DemandReported(String entryId, long bootId, long sequence, List<ModelDemand> demand) implements AgentEvent {
        /** Copies the list. */
        public DemandReported {
            demand = List.copyOf(demand);
        }
    }

    /** An entry sent an attempt. */
    record AttemptArrived(AttemptRequest attempt) implements AgentEvent {}

    /** An attempt that was started has ended, however it ended. */
    record AttemptEnded(AttemptId attempt) implements AgentEvent {}

    /** An entry gives an attempt up. */
    record CancelRequested(AttemptId attempt) implements AgentEvent {}

    /** The instance is to take no new work. */
    record DrainRequested(String reason) implements AgentEvent {}
}

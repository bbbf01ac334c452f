package org.hawthornglade.core.agent;

import java.util.List;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Failure;

/** An event that {@link AgentDecider} handles. */
public sealed interface AgentEvent {
    /** A periodic tick. */
    record Tick() implements AgentEvent {}

    /** This process took a new fencing number for the instance in the table service. */
    record FenceTaken(long number) implements AgentEvent {}

    /** A newer fencing number exists, so another agent process has taken over the instance. */
    record FenceLost() implements AgentEvent {}

    /**
     * A read of the table service showed no newer fencing number.
     *
     * @param checkedAtMs when the read began, in milliseconds
     */
    record FenceChecked(long checkedAtMs) implements AgentEvent {}

    /**
     * The assignment rows of this instance were read from the table service.
     *
     * @param readSequence increases with every read, in the order in which the reads began
     * @param rows the rows
     */
    record AssignmentsRead(long readSequence, List<AssignmentRow> rows) implements AgentEvent {
        /** Copies the list. */
        public AssignmentsRead {
            rows = List.copyOf(rows);
        }
    }

    /** The table service recorded this row as released. */
    record RowReleased(AssignmentRow row) implements AgentEvent {}

    /** The release of this row failed or its outcome is unknown; the release will be retried. */
    record RowNotReleased(AssignmentRow row) implements AgentEvent {}

    /** A configuration took effect. */
    record ConfigurationApplied(Configuration configuration) implements AgentEvent {}

    /** A report of the engine arrived. */
    record EngineReported(EngineReport report) implements AgentEvent {}

    /** The endpoint stopped answering. */
    record EndpointLost() implements AgentEvent {}

    /** The endpoint, a plain service, is answering. */
    record EndpointFound() implements AgentEvent {}

    /**
     * The engine accepted an order.
     *
     * @param order the order
     * @param orderSequence the sequence number of the order within the engine's run
     * @param bootId the engine's run
     */
    record OrderTaken(EngineOrder order, long orderSequence, long bootId) implements AgentEvent {}

    /** The engine refused an order, or the order or its reply was lost. */
    record OrderFailed(EngineOrder order, Failure failure) implements AgentEvent {}

    /**
     * An entry reported its demand, which replaces the previous report of the same entry.
     *
     * @param entryId the entry
     * @param bootId the start time of the entry's process, in milliseconds
     * @param sequence increases with every report of that process, over all its connections
     * @param demand the demand by model
     */
    record DemandReported(String entryId, long bootId, long sequence, List<ModelDemand> demand) implements AgentEvent {
        /** Copies the list. */
        public DemandReported {
            demand = List.copyOf(demand);
        }
    }

    /** An entry sent an attempt. */
    record AttemptArrived(AttemptRequest attempt) implements AgentEvent {}

    /** A started attempt ended, successfully or not. */
    record AttemptEnded(AttemptId attempt) implements AgentEvent {}

    /** An entry cancelled an attempt. */
    record CancelRequested(AttemptId attempt) implements AgentEvent {}

    /** The instance must drain: finish its work and accept no more. */
    record DrainRequested(String reason) implements AgentEvent {}
}

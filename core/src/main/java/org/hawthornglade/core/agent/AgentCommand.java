package org.hawthornglade.core.agent;

import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.result.Failure;

/** A command that {@link AgentDecider} issues to the agent process. */
public sealed interface AgentCommand {
    /**
     * Sends an order to the engine, after all earlier orders. Exactly one {@link AgentEvent.OrderTaken} or
     * {@link AgentEvent.OrderFailed} must follow, also if the engine's reply is lost.
     */
    record SendOrder(EngineOrder order) implements AgentCommand {}

    /** Marks a row as released in the table service. */
    record ReleaseRow(AssignmentRow row) implements AgentCommand {}

    /** Checks in the table service whether this process still holds the newest fencing number. */
    record CheckFence() implements AgentCommand {}

    /** Takes a newer fencing number, so that the engine can reject orders that may still be in transit. */
    record RenewFence() implements AgentCommand {}

    /** Runs an attempt. */
    record StartAttempt(AttemptId attempt) implements AgentCommand {}

    /** Refuses an attempt, which then never starts. */
    record RefuseAttempt(AttemptId attempt, Failure failure) implements AgentCommand {}

    /** Stops a running attempt. */
    record StopAttempt(AttemptId attempt) implements AgentCommand {}

    /** Answers the entry that cancelled an attempt. */
    record AnswerCancel(AttemptId attempt, CancelResult result) implements AgentCommand {}

    /** Publishes the new state to entries. */
    record Publish(AgentView view) implements AgentCommand {}

    /** Records an event in the timeline. */
    record RecordEvent(EventDraft event) implements AgentCommand {}

    /**
     * Reports that the drain has ended and the process may exit.
     *
     * @param complete whether no attempt runs, the engine holds nothing and all rows are released; false if the drain
     *     timeout was reached first
     */
    record DrainFinished(boolean complete) implements AgentCommand {}
}

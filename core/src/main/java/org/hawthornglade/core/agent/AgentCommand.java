package org.hawthornglade.core.agent;

import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.result.Failure;

/** What an agent's decisions give out. */
public sealed interface AgentCommand {
    /**
     * Give the engine an order, after all orders before it; exactly one answer must follow, also if the reply is lost.
     */
    record SendOrder(EngineOrder order) implements AgentCommand {}

    /** Mark a row as released in the table service. */
    record ReleaseRow(AssignmentRow row) implements AgentCommand {}

    /** Read in the table service whether this process still has the newest fencing number. */
    record CheckFence() implements AgentCommand {}

    /** Take a newer fencing number, so that orders that may still be under way can be shut out. */
    record RenewFence() implements AgentCommand {}

    /** Run an attempt. */
    record StartAttempt(AttemptId attempt) implements AgentCommand {}

    /** Refuse an attempt; it never starts. */
    record RefuseAttempt(AttemptId attempt, Failure failure) implements AgentCommand {}

    /** Stop an attempt that runs. */
    record StopAttempt(AttemptId attempt) implements AgentCommand {}

    /** Answer who gave an attempt up. */
    record AnswerCancel(AttemptId attempt, CancelResult result) implements AgentCommand {}

    /** Tell entries the new state. */
    record Publish(AgentView view) implements AgentCommand {}

    /** Record an event on the time line. */
    record RecordEvent(EventDraft event) implements AgentCommand {}

    /**
     * The process may end.
     *
     * @param complete whether nothing runs and nothing is held any more; else the limit was reached
     */
    record DrainFinished(boolean complete) implements AgentCommand {}
}

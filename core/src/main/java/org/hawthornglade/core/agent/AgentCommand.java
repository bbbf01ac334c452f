package org.hawthornglade.core.agent;

import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.result.Failure;

/** What an agent's decisions give out. */
public sealed interface AgentCommand {
    /** Give the engine an order. */
    record GiveOrder(EngineOrder order) implements AgentCommand {}

    /** Mark a row as released in the table service. */
    record ReleaseRow(Assignment assignment) implements AgentCommand {}

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

    /** Nothing runs and nothing is held any more: the process may end. */
    record DrainFinished() implements AgentCommand {}
}

package org.hawthornglade.core.entry;

import java.util.List;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Failure;

/** A command that {@link EntryDecider} issues to the entry process. */
public sealed interface EntryCommand {
    /** Sends a request to an agent. */
    record Dispatch(RequestId request, AttemptId attempt, InstanceId instance) implements EntryCommand {}

    /** Answers a request with a final failure. */
    record Refuse(RequestId request, Failure failure) implements EntryCommand {}

    /** Cancels an attempt at this entry by cutting its answer, so that its thread reports how it ended. */
    record CancelAttempt(AttemptId attempt, InstanceId instance) implements EntryCommand {}

    /** Makes an agent stop an attempt whose answer is no longer needed. */
    record StopAtAgent(AttemptId attempt, InstanceId instance) implements EntryCommand {}

    /** Publishes the demand to all agents. */
    record PublishDemand(List<ModelDemand> demand) implements EntryCommand {}

    /** Records an event in the timeline. */
    record RecordEvent(EventDraft event) implements EntryCommand {}

    /** Reports that no request is left and the process may exit. */
    record StopFinished() implements EntryCommand {}
}

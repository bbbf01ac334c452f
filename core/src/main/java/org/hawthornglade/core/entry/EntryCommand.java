package org.hawthornglade.core.entry;

import java.util.List;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Failure;

/** What an entry's decisions give out. */
public sealed interface EntryCommand {
    /** Send a request to an agent. */
    record Dispatch(RequestId request, AttemptId attempt, InstanceId instance) implements EntryCommand {}

    /** Answer a request with a failure, now and finally. */
    record Refuse(RequestId request, Failure failure) implements EntryCommand {}

    /** Break off an attempt's answer at this entry, so that its thread reports how it ended. */
    record CancelAttempt(AttemptId attempt, InstanceId instance) implements EntryCommand {}

    /** Have an agent stop an attempt that nobody waits for any more. */
    record StopAtAgent(AttemptId attempt, InstanceId instance) implements EntryCommand {}

    /** Tell all agents what is wanted. */
    record PublishDemand(List<ModelDemand> demand) implements EntryCommand {}

    /** Record an event on the time line. */
    record RecordEvent(EventDraft event) implements EntryCommand {}

    /** No request is left: the process may end. */
    record StopFinished() implements EntryCommand {}
}

package org.hawthornglade.core.entry;

import java.util.List;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.report.AgentView;

/** What an entry's decisions take in. */
public sealed interface EntryEvent {
    /** Time has passed. */
    record Tick() implements EntryEvent {}

    /** A caller's request came and passed all checks. */
    record RequestArrived(IncomingRequest request) implements EntryEvent {}

    /** The caller went away. */
    record RequestAbandoned(RequestId request) implements EntryEvent {}

    /** The call of an attempt is claimed: its bytes may leave from now on. */
    record AttemptClaimed(AttemptId attempt) implements EntryEvent {}

    /** An attempt ended. */
    record AttemptEnded(AttemptId attempt, AttemptOutcome outcome) implements EntryEvent {}

    /** An agent reported. */
    record AgentReported(AgentView view) implements EntryEvent {}

    /** The control connection to an agent is lost or silent. */
    record AgentLost(InstanceId instance) implements EntryEvent {}

    /** The instance list was read. */
    record InstancesListed(List<InstanceInfo> instances) implements EntryEvent {}

    /** An operator has asked for an instance to be drained. */
    record InstanceDraining(InstanceId instance) implements EntryEvent {}

    /** A configuration came into force. */
    record ConfigurationApplied(Configuration configuration) implements EntryEvent {}

    /** The entry is to end: it takes no new requests. */
    record StopRequested() implements EntryEvent {}
}

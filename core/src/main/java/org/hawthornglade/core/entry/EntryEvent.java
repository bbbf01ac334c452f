package org.hawthornglade.core.entry;

import java.util.List;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.report.AgentView;

/** An event that {@link EntryDecider} handles. */
public sealed interface EntryEvent {
    /** A periodic tick. */
    record Tick() implements EntryEvent {}

    /** A caller's request arrived and passed all checks. */
    record RequestArrived(IncomingRequest request) implements EntryEvent {}

    /** The caller disconnected. */
    record RequestAbandoned(RequestId request) implements EntryEvent {}

    /** The claim for an attempt's call was taken, so its bytes may be sent from now on. */
    record AttemptClaimed(AttemptId attempt) implements EntryEvent {}

    /** An attempt ended. */
    record AttemptEnded(AttemptId attempt, AttemptOutcome outcome) implements EntryEvent {}

    /** A report of an agent arrived. */
    record AgentReported(AgentView view) implements EntryEvent {}

    /** The control connection to an agent is lost or silent. */
    record AgentLost(InstanceId instance) implements EntryEvent {}

    /** The instance list was read. */
    record InstancesListed(List<InstanceInfo> instances) implements EntryEvent {}

    /** An operator requested the drain of an instance. */
    record InstanceDraining(InstanceId instance) implements EntryEvent {}

    /** A configuration took effect. */
    record ConfigurationApplied(Configuration configuration) implements EntryEvent {}

    /** The entry must stop and accepts no new requests. */
    record StopRequested() implements EntryEvent {}
}

package org.hawthornglade.node.wire;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.TimelineEvent;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.report.ReplicaPhase;
import org.hawthornglade.core.report.ReplicaView;
import org.hawthornglade.protocol.gen.AgentReport;
import org.hawthornglade.protocol.gen.Demand;
import org.hawthornglade.protocol.gen.Event;
import org.hawthornglade.protocol.gen.Replica;
import org.hawthornglade.protocol.gen.ReplicaState;

/** Converts the values of core to structures of the protocol and back. */
public final class WireMapper {
    private WireMapper() {}

    /** Converts demand to its protocol structure. */
    public static Demand toWire(ModelDemand demand) {
        return new Demand(
                demand.model().value(),
                demand.queued(),
                demand.running(),
                demand.waitingWeight(),
                demand.oldestWaitMs(),
                demand.earliestDeadlineInMs(),
                names(demand.adapters()),
                demand.sinceLastRequestMs(),
                demand.received());
    }

    /** Converts a protocol structure to demand; throws IllegalArgumentException if a name is not valid. */
    public static ModelDemand fromWire(Demand demand) {
        return new ModelDemand(
                ModelName.of(demand.getModel()),
                demand.getQueued(),
                demand.getRunning(),
                demand.getWaitingWeight(),
                demand.getOldestWaitMs(),
                demand.getEarliestDeadlineInMs(),
                models(demand.getAdapters()),
                demand.getSinceLastRequestMs(),
                demand.getReceived());
    }

    /** Converts an agent's state to a report. */
    public static AgentReport toWire(AgentView view, long configAppliedAtMs) {
        List<Replica> replicas =
                view.replicas().stream().map(WireMapper::toWire).toList();
        return new AgentReport(
                view.instance().value(),
                view.bootId(),
                view.revision(),
                view.configVersion(),
                view.draining(),
                new ArrayList<>(replicas),
                view.running(),
                view.freeMemoryMb(),
                view.failureDomain().value(),
                view.endpointReachable(),
                view.service() == null ? "" : view.service().value(),
                view.serviceMaxConcurrent(),
                configAppliedAtMs);
    }

    /** Converts a report to the agent's state; throws IllegalArgumentException if a name is not valid. */
    public static AgentView fromWire(AgentReport report) {
        return new AgentView(
                InstanceId.of(report.getInstanceId()),
                FailureDomain.of(report.getFailureDomain()),
                report.getBootId(),
                report.getRevision(),
                report.getConfigVersion(),
                report.isDraining(),
                report.isEngineReachable(),
                report.getReplicas().stream().map(WireMapper::fromWire).toList(),
                report.getRunning(),
                report.getFreeMemoryMb(),
                report.getServiceName().isEmpty() ? null : ServiceName.of(report.getServiceName()),
                report.getServiceMaxConcurrent());
    }

    /** Converts a timeline event to its protocol structure. */
    public static Event toWire(TimelineEvent event) {
        return new Event(
                        event.timeMs(),
                        event.process(),
                        event.bootId(),
                        event.sequence(),
                        event.kind().name(),
                        event.configVersion(),
                        event.code(),
                        event.detail())
                .setRequest(event.request())
                .setAttempt(event.attempt())
                .setModel(event.model())
                .setInstance(event.instance());
    }

    /** Converts a protocol structure to a timeline event; throws IllegalArgumentException if its kind is unknown. */
    public static TimelineEvent fromWire(Event event) {
        return new TimelineEvent(
                event.getTimeMs(),
                event.getProcess(),
                event.getBootId(),
                event.getSequence(),
                EventKind.valueOf(event.getKind()),
                event.getRequest(),
                event.getAttempt(),
                event.getModel(),
                event.getInstance(),
                event.getConfigVersion(),
                event.getCode(),
                event.getDetail());
    }

    private static Replica toWire(ReplicaView view) {
        return new Replica(
                view.model().value(),
                view.ordinal(),
                ReplicaState.valueOf(view.phase().name()),
                view.running(),
                view.maxConcurrent(),
                view.readyInMs(),
                view.loadEstimateMs(),
                names(view.adapters()),
                view.version());
    }

    private static ReplicaView fromWire(Replica replica) {
        return new ReplicaView(
                ModelName.of(replica.getModel()),
                replica.getOrdinal(),
                ReplicaPhase.valueOf(replica.getState().name()),
                replica.getRunning(),
                replica.getMaxConcurrent(),
                replica.getReadyInMs(),
                replica.getLoadEstimateMs(),
                models(replica.getAdapters()),
                replica.getVersion());
    }

    private static List<String> names(List<ModelName> models) {
        return new ArrayList<>(models.stream().map(ModelName::value).toList());
    }

    private static List<ModelName> models(List<String> names) {
        return names.stream().map(ModelName::of).toList();
    }
}

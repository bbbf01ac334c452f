package org.hawthornglade.entry.operator;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.plan.NodeVersion;
import org.hawthornglade.core.plan.PlanSummary;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ReplicaView;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.configuration.AssignmentStore;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.ports.configuration.PlanStore;

/** Assembles the state of the whole system; data that the table service cannot provide is left empty. */
public final class StatusReader {
    private static final TypeReference<NodeInfo> NODE = new TypeReference<>() {};
    private static final String UNKNOWN_PHASE = "UNKNOWN";
    private static final String NOT_LISTED = "NOT_LISTED";

    private final ConfigurationHolder holder;
    private final ConfigurationStore configurations;
    private final AssignmentStore assignments;
    private final PlanStore plans;
    private final FleetTracker fleet;
    private final PeerEntryClient peers;

    /** Creates a reader. */
    public StatusReader(
            ConfigurationHolder holder,
            ConfigurationStore configurations,
            AssignmentStore assignments,
            PlanStore plans,
            FleetTracker fleet,
            PeerEntryClient peers) {
        this.holder = holder;
        this.configurations = configurations;
        this.assignments = assignments;
        this.plans = plans;
        this.fleet = fleet;
        this.peers = peers;
    }

    /** Fetches the configuration versions of the other entries. */
    public void refreshEntryVersions(String authorization) {
        for (InstanceInfo entry : fleet.otherEntries()) {
            Optional<NodeInfo> info = peers.fetch(entry, "/operator/node", authorization, NODE);
            fleet.recordEntryVersion(entry.id(), info.map(NodeInfo::configVersion));
        }
    }

    /** Returns the current state; queries the other entries with the operator's credential. */
    public Status read(String authorization) {
        Either<Failure, Optional<Configuration>> newer =
                configurations.newerThan(holder.current().version());
        newer.peek(found -> found.ifPresent(holder::offer));
        refreshEntryVersions(authorization);
        Configuration current = holder.current();
        Status.Store store = newer.fold(
                failure -> new Status.Store(false, failure.code() + ": " + failure.message()),
                found -> new Status.Store(true, ""));
        List<AssignmentRow> rows = store.reachable() ? assignments.rows().getOrElse(List.of()) : List.of();
        List<PlanSummary> open = store.reachable() ? plans.summaries().getOrElse(List.of()) : List.of();
        return new Status(
                new Status.InForce(current.version(), current.office(), current.planId(), current.confirmedAtMs()),
                store,
                nodes(current.version()),
                rows.stream().map(row -> replica(row.assignment())).toList(),
                open.stream().filter(plan -> plan.replacedBy() == null).toList());
    }

    private List<Status.Node> nodes(long newest) {
        Map<String, InstanceInfo> listed = fleet.listedInstances().stream()
                .filter(info -> info.state() != InstanceState.GONE)
                .collect(Collectors.toMap(info -> info.id().value(), info -> info, (first, second) -> first));
        return fleet.nodes().stream()
                .map(node -> node(node, listed.get(node.node()), newest))
                .toList();
    }

    /** Describes a process; {@code info} is null if the platform does not list it, which can happen for this entry. */
    private Status.Node node(NodeVersion node, InstanceInfo info, long newest) {
        Optional<AgentView> view = fleet.view(InstanceId.of(node.node()));
        return new Status.Node(
                node.node(),
                info == null ? InstanceRole.ENTRY.name() : info.role().name(),
                info == null ? "" : info.failureDomain().value(),
                info == null ? NOT_LISTED : info.state().name(),
                node.version(),
                node.version() < newest,
                view.map(AgentView::draining).orElse(false),
                view.map(AgentView::endpointReachable).orElse(false),
                view.map(AgentView::running).orElse(0));
    }

    private Status.ReplicaStatus replica(Assignment assignment) {
        Optional<ReplicaView> view = fleet.view(assignment.instance())
                .flatMap(agent -> agent.replicas().stream()
                        .filter(replica -> replica.model().equals(assignment.model()))
                        .findFirst());
        return new Status.ReplicaStatus(
                assignment.model().value(),
                assignment.ordinal(),
                assignment.instance().value(),
                assignment.state(),
                view.map(replica -> replica.phase().name()).orElse(UNKNOWN_PHASE),
                view.map(ReplicaView::running).orElse(0));
    }
}

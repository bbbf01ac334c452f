package org.hawthornglade.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.admission.ServiceEstimate;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ReplicaView;
import org.hawthornglade.core.routing.EndpointView;

/** The endpoints that an entry knows, with its own attempts in flight at each. */
final class EndpointTable {
    /** How long an endpoint is left alone that could not be reached or said that it is leaving. */
    private static final long AVOID_MS = 1_000;
    /** How long an operator's drain counts that the agent has not yet reported itself. */
    private static final long OPERATOR_DRAIN_MS = 60_000;
    /** Loads differ by tier and store; a request is refused only if this share of the expected time is too long. */
    private static final double MIN_LOAD_TIME_SHARE = 0.5;

    private final Map<InstanceId, AgentView> views = new TreeMap<>();
    private final Map<InstanceId, Map<ModelName, Integer>> inFlight = new HashMap<>();
    private final Map<InstanceId, Map<ModelName, Integer>> inFlightAtReport = new HashMap<>();
    private final Map<InstanceId, Long> avoidedUntilMs = new HashMap<>();
    private final Set<InstanceId> leaving = new HashSet<>();

    void onReport(AgentView view) {
        AgentView known = views.put(view.instance(), view);
        inFlightAtReport.put(view.instance(), Map.copyOf(inFlight.getOrDefault(view.instance(), Map.of())));
        if (known != null && known.bootId() != view.bootId()) {
            avoidedUntilMs.remove(view.instance());
        }
    }

    void onLost(InstanceId instance) {
        views.remove(instance);
    }

    void onListed(List<InstanceInfo> instances) {
        leaving.clear();
        for (InstanceInfo info : instances) {
            if (info.state() != InstanceState.LIVE) {
                leaving.add(info.id());
            }
        }
    }

    /** Leaves an endpoint alone for a short time. */
    void avoid(InstanceId instance, long nowMs) {
        avoidedUntilMs.merge(instance, nowMs + AVOID_MS, Math::max);
    }

    /** Gives an endpoint no new work after an operator's drain. */
    void markDraining(InstanceId instance, long nowMs) {
        avoidedUntilMs.merge(instance, nowMs + OPERATOR_DRAIN_MS, Math::max);
    }

    void onSent(InstanceId instance, ModelName queue) {
        inFlight.computeIfAbsent(instance, id -> new HashMap<>()).merge(queue, 1, Integer::sum);
    }

    void onEnded(InstanceId instance, ModelName queue) {
        Map<ModelName, Integer> counts = inFlight.get(instance);
        if (counts != null) {
            counts.computeIfPresent(queue, (name, count) -> count == 1 ? null : count - 1);
        }
    }

    /** Returns the endpoints that hold the target ready and take new work. */
    List<EndpointView> candidates(Target target, long nowMs) {
        List<EndpointView> found = new ArrayList<>();
        for (AgentView view : views.values()) {
            if (acceptsWork(view, nowMs)) {
                addCandidate(view, target, found);
            }
        }
        return found;
    }

    /**
     * Returns what is expected of a target's endpoints, for predictions.
     *
     * @param serviceMs how long a request runs, in milliseconds
     */
    ServiceEstimate estimate(Target target, long serviceMs, long nowMs) {
        int slots = 0;
        int busySlots = 0;
        long readyInMs = Long.MAX_VALUE;
        for (AgentView view : views.values()) {
            TargetCapacity holding = acceptsWork(view, nowMs) ? capacityFor(view, target) : null;
            if (holding != null) {
                slots += holding.maxConcurrent;
                busySlots += holding.running;
                readyInMs = Math.min(readyInMs, holding.readyInMs);
            }
        }
        boolean known = slots > 0;
        return new ServiceEstimate(known ? readyInMs : 0, serviceMs, known ? slots : 1, known ? busySlots : 0);
    }

    private boolean acceptsWork(AgentView view, long nowMs) {
        InstanceId instance = view.instance();
        return !view.draining()
                && view.endpointReachable()
                && !leaving.contains(instance)
                && nowMs >= avoidedUntilMs.getOrDefault(instance, 0L);
    }

    private void addCandidate(AgentView view, Target target, List<EndpointView> found) {
        TargetCapacity holding = capacityFor(view, target);
        if (holding == null || holding.readyInMs > 0 || holding.maxConcurrent <= 0) {
            return;
        }
        ModelName queue = QueueNames.of(target);
        found.add(new EndpointView(
                view.instance(),
                view.failureDomain(),
                count(inFlight, view.instance(), queue),
                count(inFlightAtReport, view.instance(), queue),
                holding.running,
                holding.maxConcurrent,
                holding.adapterLoaded));
    }

    /** Returns what an endpoint holds of a target; null if nothing. */
    private static TargetCapacity capacityFor(AgentView view, Target target) {
        if (target instanceof Target.OnService onService) {
            boolean serves = onService.service().equals(view.service()) && view.serviceMaxConcurrent() > 0;
            return serves ? new TargetCapacity(view.serviceMaxConcurrent(), view.running(), 0, true) : null;
        }
        Target.OnModel onModel = (Target.OnModel) target;
        for (ReplicaView replica : view.replicas()) {
            if (replica.model().equals(onModel.base())) {
                boolean adapterLoaded =
                        onModel.adapter() == null || replica.adapters().contains(onModel.adapter());
                return new TargetCapacity(replica.maxConcurrent(), replica.running(), readyInMs(replica), adapterLoaded);
            }
        }
        return null;
    }

    private static long readyInMs(ReplicaView replica) {
        if (replica.ready()) {
            return 0;
        }
        long expectedMs = replica.readyInMs() >= 0 ? replica.readyInMs() : replica.loadEstimateMs();
        return Math.max(1, Math.round(expectedMs * MIN_LOAD_TIME_SHARE));
    }

    private static int count(Map<InstanceId, Map<ModelName, Integer>> counts, InstanceId instance, ModelName queue) {
        return counts.getOrDefault(instance, Map.of()).getOrDefault(queue, 0);
    }

    /** What an endpoint holds of a target. */
    private record TargetCapacity(int maxConcurrent, int running, long readyInMs, boolean adapterLoaded) {}
}

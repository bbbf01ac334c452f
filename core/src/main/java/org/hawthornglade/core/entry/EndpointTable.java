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

/** Tracks the endpoints known to an entry and the entry's attempts in flight at each. */
final class EndpointTable {
    /** How long an endpoint gets no work after it could not be reached or announced that it is leaving. */
    private static final long AVOID_MS = 1_000;
    /** How long an operator's drain request counts while the agent itself has not reported the drain. */
    private static final long OPERATOR_DRAIN_MS = 60_000;
    /** Load times vary by tier and store; a request is refused only if this share of the expected time is too long. */
    private static final double MIN_LOAD_TIME_SHARE = 0.5;

    private final Map<InstanceId, AgentView> views = new TreeMap<>();
    private final Map<InstanceId, Map<ModelName, Integer>> inFlight = new HashMap<>();
    private final Map<InstanceId, Map<ModelName, Integer>> inFlightAtReport = new HashMap<>();
    private final Map<InstanceId, Long> avoidedUntilMs = new HashMap<>();
    private final Set<InstanceId> leaving = new HashSet<>();

    void onReport(AgentView view) {
        AgentView previous = views.put(view.instance(), view);
        inFlightAtReport.put(view.instance(), Map.copyOf(inFlight.getOrDefault(view.instance(), Map.of())));
        if (previous != null && previous.bootId() != view.bootId()) {
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

    /** Gives an endpoint no work for a short time. */
    void avoid(InstanceId instance, long nowMs) {
        avoidedUntilMs.merge(instance, nowMs + AVOID_MS, Math::max);
    }

    /** Gives an endpoint no new work after an operator's drain request. */
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

    /** Returns the endpoints that accept new work and have the target ready. */
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
     * Returns an estimate of when and with how many slots the endpoints of a target serve, to predict completion times.
     *
     * @param target the target
     * @param serviceMs how long a request runs, in milliseconds
     * @param nowMs the current time, in milliseconds
     */
    ServiceEstimate estimate(Target target, long serviceMs, long nowMs) {
        int slots = 0;
        int busySlots = 0;
        long readyInMs = Long.MAX_VALUE;
        for (AgentView view : views.values()) {
            TargetCapacity capacity = acceptsWork(view, nowMs) ? capacityFor(view, target) : null;
            if (capacity != null) {
                slots += capacity.maxConcurrent;
                busySlots += capacity.running;
                readyInMs = Math.min(readyInMs, capacity.readyInMs);
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
        TargetCapacity capacity = capacityFor(view, target);
        if (capacity == null || capacity.readyInMs > 0 || capacity.maxConcurrent <= 0) {
            return;
        }
        ModelName queue = QueueNames.of(target);
        found.add(new EndpointView(
                view.instance(),
                view.failureDomain(),
                count(inFlight, view.instance(), queue),
                count(inFlightAtReport, view.instance(), queue),
                capacity.running,
                capacity.maxConcurrent,
                capacity.adapterLoaded));
    }

    /** Returns the capacity of an endpoint for a target, or null if it does not serve the target. */
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
                return new TargetCapacity(
                        replica.maxConcurrent(), replica.running(), readyInMs(replica), adapterLoaded);
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

    /** The capacity of an endpoint for a target. */
    private record TargetCapacity(int maxConcurrent, int running, long readyInMs, boolean adapterLoaded) {}
}

package org.hawthornglade.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ReplicaView;

/** The endpoints that an entry knows, with its own attempts in flight at each. */
final class EndpointTable {
    private final Map<InstanceId, AgentView> views = new TreeMap<>();
    private final Map<InstanceId, Map<String, Integer>> inFlight = new HashMap<>();
    private final Set<InstanceId> leaving = new HashSet<>();

    void reported(AgentView view) {
        views.put(view.instance(), view);
    }

    void lost(InstanceId instance) {
        views.remove(instance);
    }

    void listed(List<InstanceInfo> instances) {
        leaving.clear();
        for (InstanceInfo info : instances) {
            if (info.state() != InstanceState.LIVE) {
                leaving.add(info.id());
            }
        }
    }

    void sent(InstanceId instance, Target target) {
        inFlight.computeIfAbsent(instance, id -> new HashMap<>()).merge(baseName(target), 1, Integer::sum);
    }

    void ended(InstanceId instance, Target target) {
        Map<String, Integer> counts = inFlight.get(instance);
        if (counts != null) {
            counts.computeIfPresent(baseName(target), (name, count) -> count == 1 ? null : count - 1);
        }
    }

    /** Returns the endpoints that may run one more request for the target now. */
    List<Candidate> candidates(Target target) {
        List<Candidate> found = new ArrayList<>();
        for (AgentView view : views.values()) {
            if (view.draining() || !view.endpointReachable() || leaving.contains(view.instance())) {
                continue;
            }
            Candidate candidate = candidate(view, target);
            if (candidate != null && candidate.load() < candidate.capacity()) {
                found.add(candidate);
            }
        }
        return found;
    }

    /** Returns whether any endpoint could ever run the target as things stand. */
    boolean anyHolder(Target target) {
        for (AgentView view : views.values()) {
            if (!view.draining() && !leaving.contains(view.instance()) && holds(view, target)) {
                return true;
            }
        }
        return false;
    }

    private static boolean holds(AgentView view, Target target) {
        if (target instanceof Target.OnService onService) {
            return onService.service().equals(view.service());
        }
        return replica(view, (Target.OnModel) target) != null;
    }

    private Candidate candidate(AgentView view, Target target) {
        int own = inFlight.getOrDefault(view.instance(), Map.of()).getOrDefault(baseName(target), 0);
        if (target instanceof Target.OnService onService) {
            boolean serves = onService.service().equals(view.service());
            return serves
                    ? new Candidate(view.instance(), Math.max(own, view.running()), view.serviceMaxConcurrent())
                    : null;
        }
        Target.OnModel onModel = (Target.OnModel) target;
        ReplicaView replica = replica(view, onModel);
        if (replica == null || !replica.ready()) {
            return null;
        }
        if (onModel.adapter() != null && !replica.adapters().contains(onModel.adapter())) {
            return null;
        }
        return new Candidate(view.instance(), Math.max(own, replica.running()), replica.maxConcurrent());
    }

    private static ReplicaView replica(AgentView view, Target.OnModel target) {
        for (ReplicaView replica : view.replicas()) {
            if (replica.model().equals(target.base())) {
                return replica;
            }
        }
        return null;
    }

    private static String baseName(Target target) {
        return target instanceof Target.OnModel onModel ? onModel.base().value() : target.name();
    }

    /**
     * An endpoint that may run a request.
     *
     * @param instance where it is
     * @param load how many requests it runs, as far as known
     * @param capacity how many it runs at most
     */
    record Candidate(InstanceId instance, int load, int capacity) {}
}

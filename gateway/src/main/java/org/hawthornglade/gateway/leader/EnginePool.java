package org.hawthornglade.gateway.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.replica.EngineReplicaTracker;
import org.hawthornglade.core.replica.EntryDemandAggregator;
import org.hawthornglade.core.replica.LoadPacer;
import org.hawthornglade.core.replica.RemoteLoadListener;
import org.hawthornglade.core.replica.ReplicaPlanner;
import org.hawthornglade.core.serving.EngineDefinition;

/** The leader's view of the engines of one service. */
final class EnginePool {
    private final ServiceName service;
    private final EntryDemandAggregator demand = new EntryDemandAggregator();
    private final LoadPacer pacer = new LoadPacer();
    private final RemoteLoadListener listener;
    private final Map<InstanceId, EngineReplicaTracker> trackers = new HashMap<>();
    private final boolean plansDiskCopies;
    private EngineDefinition definition;
    private ReplicaPlanner planner;

    EnginePool(ServiceName service, EngineDefinition definition, RemoteLoadListener listener, boolean plansDiskCopies) {
        this.service = service;
        this.definition = definition;
        this.listener = listener;
        this.plansDiskCopies = plansDiskCopies;
        this.planner = new ReplicaPlanner(definition, demand, pacer, listener, plansDiskCopies);
    }

    /** Applies the definition of the newest configuration. */
    void updateDefinition(EngineDefinition newest) {
        if (!newest.equals(definition)) {
            definition = newest;
            planner = new ReplicaPlanner(newest, demand, pacer, listener, plansDiskCopies);
        }
    }

    ServiceName service() {
        return service;
    }

    LoadPacer pacer() {
        return pacer;
    }

    EntryDemandAggregator demand() {
        return demand;
    }

    ReplicaPlanner planner() {
        return planner;
    }

    Collection<EngineReplicaTracker> trackers() {
        return trackers.values();
    }

    Optional<EngineReplicaTracker> tracker(InstanceId id) {
        return Optional.ofNullable(trackers.get(id));
    }

    /** Discards the assumed state of the engines, as when the lease was won again. */
    void clearTrackers() {
        trackers.clear();
    }

    /** Brings the trackers in line with the list of instances. */
    void syncInstances(Fleet fleet, long nowMs) {
        List<InstanceId> present = new ArrayList<>();
        for (Endpoint endpoint : fleet.all()) {
            InstanceRecord record = endpoint.record();
            if (!record.service().equals(service)) {
                continue;
            }
            present.add(record.id());
            EngineReplicaTracker tracker = trackers.get(record.id());
            if (tracker == null) {
                EngineReplicaTracker added = new EngineReplicaTracker(record);
                endpoint.lastPlacement().ifPresent(added::adoptPlacement);
                trackers.put(record.id(), added);
            } else if (!tracker.listed().equals(record)) {
                tracker.onListed(record, nowMs);
            }
        }
        trackers.keySet().retainAll(present);
    }
}

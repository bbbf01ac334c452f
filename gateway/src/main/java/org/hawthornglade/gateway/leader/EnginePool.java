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
import org.hawthornglade.core.replica.DemandTracker;
import org.hawthornglade.core.replica.EngineReplicaTracker;
import org.hawthornglade.core.replica.LoadPacer;
import org.hawthornglade.core.replica.RemoteLoadListener;
import org.hawthornglade.core.replica.ReplicaPlanner;
import org.hawthornglade.core.serving.EngineDefinition;

/** The engines of one service as the leader keeps them. */
final class EnginePool {
    private final ServiceName service;
    private final DemandTracker demand = new DemandTracker();
    private final LoadPacer pacer = new LoadPacer();
    private final RemoteLoadListener listener;
    private final Map<InstanceId, EngineReplicaTracker> trackers = new HashMap<>();
    private EngineDefinition definition;
    private ReplicaPlanner planner;

    EnginePool(ServiceName service, EngineDefinition engine, RemoteLoadListener listener) {
        this.service = service;
        this.definition = engine;
        this.listener = listener;
        this.planner = new ReplicaPlanner(engine, demand, pacer, listener);
    }

    /** Takes the definition of the newest configuration. */
    void updateDefinition(EngineDefinition newest) {
        if (!newest.equals(definition)) {
            definition = newest;
            planner = new ReplicaPlanner(newest, demand, pacer, listener);
        }
    }

    ServiceName service() {
        return service;
    }

    LoadPacer pacer() {
        return pacer;
    }

    DemandTracker demand() {
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

    /** Forgets what was believed of the engines, as when the lease was won anew. */
    void clearTrackers() {
        trackers.clear();
    }

    /** Follows the list of instances. */
    void syncInstances(Fleet fleet, long nowMs) {
        List<InstanceId> present = new ArrayList<>();
        for (Endpoint endpoint : fleet.all()) {
            InstanceRecord record = endpoint.record();
            if (!record.service().equals(service)) {
                continue;
            }
            present.add(record.id());
            EngineReplicaTracker book = trackers.get(record.id());
            if (book == null) {
                EngineReplicaTracker fresh = new EngineReplicaTracker(record);
                endpoint.lastPlacement().ifPresent(fresh::adoptPlacement);
                trackers.put(record.id(), fresh);
            } else if (!book.listed().equals(record)) {
                book.onListed(record, nowMs);
            }
        }
        trackers.keySet().retainAll(present);
    }
}

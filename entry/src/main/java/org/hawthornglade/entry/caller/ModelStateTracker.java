package org.hawthornglade.entry.caller;

import java.util.concurrent.ConcurrentHashMap;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ReplicaPhase;
import org.hawthornglade.core.report.ReplicaView;

/**
 * Tracks the latest reports of agents to derive the states of models for callers.
 *
 * <p>Safe for use by several threads.
 */
public final class ModelStateTracker {
    private final ConcurrentHashMap<InstanceId, AgentView> views = new ConcurrentHashMap<>();

    /** Updates the tracker from an event. */
    public void onEvent(EntryEvent event) {
        if (event instanceof EntryEvent.AgentReported reported) {
            views.put(reported.view().instance(), reported.view());
        } else if (event instanceof EntryEvent.AgentLost lost) {
            views.remove(lost.instance());
        }
    }

    /** Returns the state of a base model. */
    ModelState stateOf(ModelName base) {
        int ready = 0;
        boolean loading = false;
        for (AgentView view : views.values()) {
            for (ReplicaView replica : view.replicas()) {
                if (replica.model().equals(base)) {
                    ready += replica.ready() ? 1 : 0;
                    loading |= replica.phase() == ReplicaPhase.LOADING || replica.phase() == ReplicaPhase.WAITING;
                }
            }
        }
        if (ready > 0) {
            return new ModelState("ready", ready);
        }
        return new ModelState(loading ? "loading" : "cold", 0);
    }

    /**
     * The state of a model.
     *
     * @param name ready, loading or cold
     * @param readyReplicas the number of replicas that are ready
     */
    record ModelState(String name, int readyReplicas) {}
}

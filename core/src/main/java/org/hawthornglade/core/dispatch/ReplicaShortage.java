package org.hawthornglade.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;

/** What no endpoint has ready of what a call requests, for the log. */
public enum ReplicaShortage {
    /** No endpoint has the model ready, nor does any load it. */
    MODEL,
    /** The model is ready at no endpoint, but is being loaded or about to be. */
    MODEL_LOADING,
    /** An endpoint has the model ready, but none has its adapter. */
    ADAPTER,
    /** An endpoint has the model and its adapter ready; the call is held up by something else. */
    NONE;

    /** Returns what is missing at the usable endpoints of the service of a call. */
    public static ReplicaShortage of(ModelDemand demand, List<Endpoint> usable, long nowMs) {
        ReplicaShortage least = MODEL;
        for (Endpoint endpoint : usable) {
            ReplicaShortage here = at(endpoint, demand, nowMs);
            least = here.compareTo(least) > 0 ? here : least;
        }
        return least;
    }

    private static ReplicaShortage at(Endpoint endpoint, ModelDemand demand, long nowMs) {
        Optional<ReplicaState> replica = endpoint.replica(demand.model());
        if (replica.isEmpty() || replica.get().status() == ReplicaStatus.UNLOADING) {
            return MODEL;
        }
        if (replica.get().status() == ReplicaStatus.LOADING) {
            return MODEL_LOADING;
        }
        return endpoint.serves(demand.model(), demand.adapter(), nowMs) ? NONE : ADAPTER;
    }
}

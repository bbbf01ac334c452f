package org.hawthornglade.core.report;

import java.util.List;
import org.hawthornglade.core.id.ModelName;

/**
 * What an agent says of one replica assigned to it.
 *
 * @param model the base model
 * @param ordinal the replica's number
 * @param phase how far it is loaded
 * @param running how many requests it runs
 * @param maxConcurrent how many it runs at most
 * @param readyInMs when it will probably be ready, in milliseconds from now; 0 if it is, -1 if not known
 * @param loadEstimateMs how long a load would take if it began now, in milliseconds
 * @param adapters the adapters loaded on it
 * @param version the checkpoint's version
 */
public record ReplicaView(
        ModelName model,
        int ordinal,
        ReplicaPhase phase,
        int running,
        int maxConcurrent,
        long readyInMs,
        long loadEstimateMs,
        List<ModelName> adapters,
        String version) {
    /** Copies the list. */
    public ReplicaView {
        adapters = List.copyOf(adapters);
    }

    public boolean ready() {
        return phase == ReplicaPhase.READY;
    }
}

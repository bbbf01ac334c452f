package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ModelName;

/**
 * Lists the engines that have a copy of each model: loaded, incoming, in host memory or on disk.
 *
 * <p>Engines that are leaving do not count. Unreachable engines do, since a disk survives a restart.
 */
final class CopyIndex {
    private final Map<ModelName, List<EngineReplicaTracker>> holders = new HashMap<>();
    private final Set<ModelName> onLeavingEngines = new HashSet<>();

    CopyIndex(Collection<EngineReplicaTracker> trackers) {
        for (EngineReplicaTracker tracker : trackers) {
            Set<ModelName> copies = new HashSet<>(tracker.localModels());
            copies.addAll(tracker.models().keySet());
            tracker.incomingModel().ifPresent(copies::add);
            if (tracker.leaving()) {
                onLeavingEngines.addAll(copies);
                continue;
            }
            copies.forEach(model ->
                    holders.computeIfAbsent(model, name -> new ArrayList<>()).add(tracker));
        }
    }

    /** Returns how many engines have a copy of a model. */
    int copies(ModelName model) {
        return holders.getOrDefault(model, List.of()).size();
    }

    /** Returns whether an engine that is leaving has a copy of a model. */
    boolean isOnLeavingEngine(ModelName model) {
        return onLeavingEngines.contains(model);
    }

    /** Returns the failure domains in which there is a copy of a model. */
    Set<FailureDomain> domains(ModelName model) {
        Set<FailureDomain> domains = new HashSet<>();
        holders.getOrDefault(model, List.of())
                .forEach(tracker -> domains.add(tracker.listed().failureDomain()));
        return domains;
    }

    /** Returns whether no other usable engine has a copy of a model. */
    boolean isOnlyUsableCopy(EngineReplicaTracker here, ModelName model) {
        for (EngineReplicaTracker tracker : holders.getOrDefault(model, List.of())) {
            if (tracker != here && tracker.usable()) {
                return false;
            }
        }
        return true;
    }
}

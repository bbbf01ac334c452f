package org.hawthornglade.core.agent;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.report.ModelDemand;

/** What all entries connected to an agent want, by model. */
final class DemandBook {
    /** How long an entry's demand counts after its last report. */
    static final long DEMAND_TIMEOUT_MS = 3_000;

    private final Map<String, Map<ModelName, ModelDemand>> byEntry = new TreeMap<>();
    private final Map<String, Long> reportedAtMs = new HashMap<>();

    void report(String entryId, List<ModelDemand> demand, long nowMs) {
        Map<ModelName, ModelDemand> byModel = new HashMap<>();
        demand.forEach(wanted -> byModel.put(wanted.model(), wanted));
        byEntry.put(entryId, byModel);
        reportedAtMs.put(entryId, nowMs);
    }

    void forgetOld(long nowMs) {
        reportedAtMs.values().removeIf(atMs -> nowMs - atMs > DEMAND_TIMEOUT_MS);
        byEntry.keySet().retainAll(reportedAtMs.keySet());
    }

    int queued(ModelName model) {
        return byEntry.values().stream()
                .filter(demand -> demand.containsKey(model))
                .mapToInt(demand -> demand.get(model).queued())
                .sum();
    }

    double waitingWeight(ModelName model) {
        return byEntry.values().stream()
                .filter(demand -> demand.containsKey(model))
                .mapToDouble(demand -> demand.get(model).waitingWeight())
                .sum();
    }

    Set<ModelName> adaptersWanted(ModelName base) {
        Set<ModelName> wanted = new TreeSet<>();
        for (Map<ModelName, ModelDemand> demand : byEntry.values()) {
            if (demand.containsKey(base) && demand.get(base).queued() > 0) {
                wanted.addAll(demand.get(base).adapters());
            }
        }
        return wanted;
    }
}

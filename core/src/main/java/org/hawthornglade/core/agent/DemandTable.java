package org.hawthornglade.core.agent;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.report.ModelDemand;

/** Holds the demand by model that the entries connected to an agent have reported. */
final class DemandTable {
    /** How long an entry's demand counts after its last report. */
    static final long DEMAND_TIMEOUT_MS = 3_000;

    private final Map<String, EntryDemand> byEntry = new TreeMap<>();

    private record EntryDemand(long bootId, long sequence, long atMs, Map<ModelName, ModelDemand> byModel) {
        boolean isNewerThan(long otherBootId, long otherSequence) {
            return bootId > otherBootId || (bootId == otherBootId && sequence > otherSequence);
        }
    }

    /** Applies a report, unless a newer one of the same entry has already arrived on another connection. */
    void onReport(AgentEvent.DemandReported reported, long nowMs) {
        EntryDemand known = byEntry.get(reported.entryId());
        if (known != null && known.isNewerThan(reported.bootId(), reported.sequence())) {
            return;
        }
        Map<ModelName, ModelDemand> byModel = new HashMap<>();
        reported.demand().forEach(demand -> byModel.put(demand.model(), demand));
        byEntry.put(reported.entryId(), new EntryDemand(reported.bootId(), reported.sequence(), nowMs, byModel));
    }

    void removeExpired(long nowMs) {
        byEntry.values().removeIf(demand -> nowMs - demand.atMs > DEMAND_TIMEOUT_MS);
    }

    int queued(ModelName model) {
        return demandFor(model).mapToInt(ModelDemand::queued).sum();
    }

    double waitingWeight(ModelName model) {
        return demandFor(model).mapToDouble(ModelDemand::waitingWeight).sum();
    }

    /** Returns the time to the earliest deadline of the queued requests, in milliseconds from their reports. */
    long earliestDeadlineInMs(ModelName model) {
        return demandFor(model)
                .filter(demand -> demand.queued() > 0)
                .mapToLong(ModelDemand::earliestDeadlineInMs)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    Set<ModelName> wantedAdapters(ModelName base) {
        Set<ModelName> wanted = new TreeSet<>();
        demandFor(base)
                .filter(demand -> demand.queued() > 0)
                .map(ModelDemand::adapters)
                .forEach((List<ModelName> names) -> wanted.addAll(names));
        return wanted;
    }

    private Stream<ModelDemand> demandFor(ModelName model) {
        Collection<EntryDemand> entries = byEntry.values();
        return entries.stream().map(demand -> demand.byModel.get(model)).filter(demand -> demand != null);
    }
}

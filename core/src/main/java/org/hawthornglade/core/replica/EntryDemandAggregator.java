package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/** Keeps the latest demand that each entry has reported, and adds it up over all entries. */
public final class EntryDemandAggregator {
    /** An entry that has not reported for this time is assumed to have no calls. */
    private static final long ENTRY_VALID_MS = 3_000;

    private record EntryReport(EntryDemand demand, long receivedAtMs) {}

    private final Map<String, EntryReport> byEntry = new HashMap<>();
    private final Map<Variant, Long> lastRunAtMs = new HashMap<>();
    private DemandTotals totals;
    private long totalsAtMs;

    /** Records the demand that an entry reports; it replaces the entry's earlier report. */
    public void onDemand(String entry, EntryDemand demand, long nowMs) {
        byEntry.put(entry, new EntryReport(demand, nowMs));
        demand.running().values().forEach(calls -> calls.keySet().forEach(variant -> lastRunAtMs.put(variant, nowMs)));
        totals = null;
    }

    /** Records the demand that an entry reports apart from its arrivals, which stay as it reported them before. */
    public void onDemandExceptArrivals(String entry, EntryDemand demand, long nowMs) {
        EntryReport previous = byEntry.get(entry);
        Map<ModelName, ModelArrivals> arrivals =
                previous == null ? Map.of() : previous.demand().arrivals();
        onDemand(entry, demand.withArrivals(arrivals), nowMs);
    }

    /** Removes the demand of an entry whose connection has ended. */
    public void onEntryDisconnected(String entry) {
        byEntry.remove(entry);
        totals = null;
    }

    /**
     * Returns the minimum latency target of the calls for a model in milliseconds; {@link Long#MAX_VALUE} if none is
     * known.
     */
    public long minLatencyTargetMs(ModelName model, long nowMs) {
        return totals(nowMs).arrivals(model).minLatencyTargetMs();
    }

    /** Returns whether calls wait for a model or an adapter on it. */
    public boolean hasWaitingCalls(ModelName model, long nowMs) {
        return totals(nowMs).hasWaitingCalls(model);
    }

    /** Returns the waiting demand by variant, the most urgent first. */
    public List<VariantDemand> waiting(long nowMs) {
        return totals(nowMs).waitingMostUrgentFirst();
    }

    /** Returns how many calls run at an instance for a model, including those for its adapters. */
    public int running(InstanceId instance, ModelName model, long nowMs) {
        return totals(nowMs).running(instance, model);
    }

    /** Returns how many calls run at an instance for exactly this variant. */
    public int running(InstanceId instance, Variant variant, long nowMs) {
        return totals(nowMs).running(instance, variant);
    }

    /** Returns when a variant was last reported to run calls, in milliseconds; {@link Long#MIN_VALUE} if never. */
    long lastRunAtMs(Variant variant) {
        return lastRunAtMs.getOrDefault(variant, Long.MIN_VALUE);
    }

    /** Returns how many calls run at an instance. */
    public int running(InstanceId instance, long nowMs) {
        return totals(nowMs).running(instance);
    }

    /** Returns the recent call rate of a model, in calls a second. */
    public double callsPerSecond(ModelName model, long nowMs) {
        return totals(nowMs).arrivals(model).callsPerSecond();
    }

    /** Returns the prompt tokens a second that engines have to process for a model, without shared prefixes. */
    public double promptTokensPerSecond(ModelName model, long nowMs) {
        return totals(nowMs).arrivals(model).promptTokensPerSecond();
    }

    /** Returns whether any entry has reported arrivals recently. */
    boolean anyArrivals(long nowMs) {
        return totals(nowMs).anyArrivals();
    }

    /** Returns how many entries have reported their demand recently. */
    public int entries(long nowMs) {
        return totals(nowMs).entries();
    }

    private DemandTotals totals(long nowMs) {
        if (totals == null || nowMs != totalsAtMs) {
            totals = new DemandTotals(current(nowMs));
            totalsAtMs = nowMs;
        }
        return totals;
    }

    private List<EntryDemand> current(long nowMs) {
        List<EntryDemand> current = new ArrayList<>();
        for (EntryReport report : byEntry.values()) {
            if (nowMs - report.receivedAtMs() <= ENTRY_VALID_MS) {
                current.add(report.demand());
            }
        }
        return current;
    }
}

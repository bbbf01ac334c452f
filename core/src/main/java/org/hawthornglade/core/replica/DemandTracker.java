package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/** The demand of all entries together, as they last told it. */
public final class DemandTracker {
    /** After this time an entry that says nothing is taken to have no calls. */
    private static final long ENTRY_VALID_MS = 3_000;

    private record EntryReport(EntryDemand demand, long receivedAtMs) {}

    private final Map<String, EntryReport> byEntry = new HashMap<>();
    private DemandTotals totals;
    private long totalsAtMs;

    /** Takes what an entry tells; its earlier word no longer counts. */
    public void onDemand(String entry, EntryDemand demand, long nowMs) {
        byEntry.put(entry, new EntryReport(demand, nowMs));
        totals = null;
    }

    /** Takes what an entry tells apart from its arrivals, for which its earlier word goes on to count. */
    public void onDemandExceptArrivals(String entry, EntryDemand demand, long nowMs) {
        EntryReport before = byEntry.get(entry);
        Map<ModelName, ModelArrivals> arrivals =
                before == null ? Map.of() : before.demand().arrivals();
        onDemand(entry, demand.withArrivals(arrivals), nowMs);
    }

    /** Forgets an entry whose connection has ended. */
    public void onEntryDisconnected(String entry) {
        byEntry.remove(entry);
        totals = null;
    }

    /** Returns the latency target of the calls for a model; the longest time if none is known. */
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

    /** Returns how many calls run at an instance for a model, its adapters included. */
    public int running(InstanceId instance, ModelName model, long nowMs) {
        return totals(nowMs).running(instance, model);
    }

    /** Returns how many calls run at an instance for exactly this variant. */
    public int running(InstanceId instance, Variant variant, long nowMs) {
        return totals(nowMs).running(instance, variant);
    }

    /** Returns how many calls run at an instance. */
    public int running(InstanceId instance, long nowMs) {
        return totals(nowMs).running(instance);
    }

    /** Returns the recent calls a second for a model. */
    public double callsPerSecond(ModelName model, long nowMs) {
        return totals(nowMs).arrivals(model).callsPerSecond();
    }

    /** Returns the prompt tokens a second that engines have to read for a model, shared parts left out. */
    public double promptTokensPerSecond(ModelName model, long nowMs) {
        return totals(nowMs).arrivals(model).promptTokensPerSecond();
    }

    /** Returns whether any call has come lately. */
    boolean anyArrivals(long nowMs) {
        return totals(nowMs).anyArrivals();
    }

    /** Returns how many entries have told their demand lately. */
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
        for (EntryReport told : byEntry.values()) {
            if (nowMs - told.receivedAtMs() <= ENTRY_VALID_MS) {
                current.add(told.demand());
            }
        }
        return current;
    }
}

package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/** Calls for adapters of one model in virtual time: callers wait, are refused, and come again, as at an entry. */
final class AdapterCalls {
    private static final long STEP_MS = 10;
    private static final long DURATION_MS = 8_000;
    private static final int CALLS_PER_ADAPTER = 4;
    private static final long CALL_INTERVAL_MS = DURATION_MS / CALLS_PER_ADAPTER;
    /** A call is refused after this time. */
    private static final long MAX_WAIT_MS = 900;

    private static final long TARGET_MS = 600;
    private static final ModelName MODEL = ModelName.of("m0");

    private record Call(Variant variant, long atMs) {}

    private final ReplicaFixture fixture = new ReplicaFixture(1, 0);
    private final int adapters;
    private final long callMs;
    private final long retryMs;
    private final List<Call> waiting = new ArrayList<>();
    private final List<Call> refused = new ArrayList<>();
    private final Map<InstanceId, Map<Variant, List<Long>>> runningUntilMs = new HashMap<>();
    private final Map<Variant, Integer> served = new HashMap<>();

    /**
     * Creates calls that are not made yet.
     *
     * @param replicas how many engines have the model ready
     * @param adapters for how many adapters calls are made
     * @param callMs how long an engine runs a call
     * @param retryMs how long a refused call is expected again
     */
    AdapterCalls(int replicas, int adapters, long callMs, long retryMs) {
        this.adapters = adapters;
        this.callMs = callMs;
        this.retryMs = retryMs;
        for (int i = 0; i < replicas; i++) {
            fixture.engine("e" + i, List.of("m0"), List.of("m0"));
        }
    }

    /** Returns how many calls were served, by adapter. */
    Map<String, Integer> served() {
        Map<String, Integer> byName = new TreeMap<>();
        served.forEach((variant, calls) -> byName.put(variant.toString(), calls));
        return byName;
    }

    void run() {
        long startMs = fixture.nowMs;
        while (fixture.nowMs < startMs + DURATION_MS) {
            fixture.nowMs += STEP_MS;
            arrive(fixture.nowMs - startMs);
            send();
            refuse();
            report();
            fixture.answer(OrderOutcome.ACCEPTED);
            fixture.plan();
        }
    }

    private void arrive(long sinceStartMs) {
        for (int i = 0; i < adapters; i++) {
            long firstMs = STEP_MS + i * CALL_INTERVAL_MS / adapters / STEP_MS * STEP_MS;
            if (sinceStartMs % CALL_INTERVAL_MS == firstMs % CALL_INTERVAL_MS) {
                waiting.add(new Call(new Variant(MODEL, Optional.of(AdapterName.of("x" + i))), fixture.nowMs));
            }
        }
    }

    private void send() {
        runningUntilMs.values().forEach(use -> {
            use.values().forEach(ends -> ends.removeIf(endMs -> endMs <= fixture.nowMs));
            use.values().removeIf(List::isEmpty);
        });
        waiting.removeIf(this::sent);
    }

    private boolean sent(Call call) {
        for (EngineReplicaTracker tracker : fixture.trackers) {
            ReplicaStatus status = tracker.placement(Map.of(), fixture.nowMs)
                    .models()
                    .get(MODEL)
                    .adapters()
                    .get(call.variant().adapter().orElseThrow());
            if (status == ReplicaStatus.READY) {
                served.merge(call.variant(), 1, Integer::sum);
                runningUntilMs
                        .computeIfAbsent(tracker.id(), id -> new HashMap<>())
                        .computeIfAbsent(call.variant(), variant -> new ArrayList<>())
                        .add(fixture.nowMs + callMs);
                return true;
            }
        }
        return false;
    }

    private void refuse() {
        for (Call call : List.copyOf(waiting)) {
            if (fixture.nowMs - call.atMs() >= MAX_WAIT_MS) {
                waiting.remove(call);
                refused.add(call);
            }
        }
        refused.removeIf(call -> fixture.nowMs - call.atMs() >= MAX_WAIT_MS + retryMs);
    }

    private void report() {
        Map<Variant, VariantDemand> sums = new HashMap<>();
        waiting.forEach(call -> add(call, 0, sums));
        refused.forEach(call -> add(call, 1, sums));
        Map<InstanceId, Map<Variant, Integer>> running = new HashMap<>();
        runningUntilMs.forEach((id, use) -> {
            Map<Variant, Integer> calls = new HashMap<>();
            use.forEach((variant, ends) -> calls.put(variant, ends.size()));
            running.put(id, calls);
        });
        fixture.demand.onDemand(
                "entry",
                new EntryDemand(List.copyOf(sums.values()), Map.of(), running, Set.of(), Map.of()),
                fixture.nowMs);
    }

    private void add(Call call, int expectedCalls, Map<Variant, VariantDemand> sums) {
        long slackMs = call.atMs() + TARGET_MS - fixture.nowMs;
        sums.merge(call.variant(), new VariantDemand(call.variant(), 1, expectedCalls, slackMs), VariantDemand::plus);
    }
}

package org.hawthornglade.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.admission.WaitingRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class VirtualRunTest {
    private static final Deployment DEPLOYMENT = Deployment.lagiHangat();
    private static final long HOUR_MS = 3_600_000;

    // The first three hours of a trace keep the test short and include the faults.
    private static Trace shortTrace(long seed) {
        Trace complete = TraceGenerator.generate(DEPLOYMENT, seed);
        long endMs = 3 * HOUR_MS;
        List<TraceRequest> first = complete.requests().stream()
                .filter(request -> request.arrivedAtMs() < endMs)
                .toList();
        return new Trace(DEPLOYMENT, seed, complete.models(), first, 0, endMs);
    }

    @Test
    void aSeedGivesTheSameTraceAgain() {
        assertThat(TraceGenerator.generate(DEPLOYMENT, 7)).isEqualTo(TraceGenerator.generate(DEPLOYMENT, 7));
    }

    @Test
    void aSeedGivesTheSameResultAgain() {
        PolicySet chosen = Policies.chosen(DEPLOYMENT);

        assertThat(VirtualRun.run(shortTrace(3), chosen, Fault.NONE, Fault.NONE, 1))
                .isEqualTo(VirtualRun.run(shortTrace(3), chosen, Fault.NONE, Fault.NONE, 1));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void memoryIsNeverOvercommittedAndEveryRequestGetsOneOutcome(Fault fault) {
        Trace plain = shortTrace(5);
        Trace trace = fault == Fault.SURGE
                ? TraceGenerator.withSurge(plain, fault.startMs(plain), fault.endMs(plain), 6)
                : plain;
        List<String> outcomes = new ArrayList<>();
        VirtualRun run = VirtualRun.observed(trace, Policies.chosen(DEPLOYMENT), fault, (request, agents) -> {
            outcomes.add(request.id().value());
            agents.forEach(agent -> assertThat(agent.freeMb()).isAtLeast(0));
        });

        run.run();

        List<String> due = run.trace().requests().stream()
                .map(TraceRequest::request)
                .filter(request -> request.deadlineAtMs() < trace.endMs() - HOUR_MS / 2)
                .map(request -> request.id().value())
                .toList();
        assertThat(outcomes).containsNoDuplicates();
        assertThat(outcomes).containsAtLeastElementsIn(due);
    }

    @Test
    void transfersBeyondTheFullSpeedOnesShareTheStore() {
        VirtualTime time = new VirtualTime();
        WeightStoreModel store = new WeightStoreModel(time, 8);
        List<Long> doneAtMs = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            assertThat(store.tryStart(new WeightStoreModel.Transfer(1_500, () -> doneAtMs.add(time.nowMs()))))
                    .isTrue();
        }
        assertThat(store.tryStart(new WeightStoreModel.Transfer(1, () -> {}))).isFalse();

        time.runUntil(10_000);

        assertThat(doneAtMs.stream().distinct().collect(Collectors.toList())).containsExactly(2_000L);
    }

    @Test
    void theSurgeRepeatsTheRequestsOfItsWindowOnly() {
        Trace trace = shortTrace(2);
        Trace surged = TraceGenerator.withSurge(trace, HOUR_MS, 2 * HOUR_MS, 6);
        long inside = trace.requests().stream()
                .map(TraceRequest::request)
                .mapToLong(WaitingRequest::arrivedAtMs)
                .filter(atMs -> atMs >= HOUR_MS && atMs < 2 * HOUR_MS)
                .count();

        assertThat(surged.requests()).hasSize((int) (trace.requests().size() + 5 * inside));
    }
}

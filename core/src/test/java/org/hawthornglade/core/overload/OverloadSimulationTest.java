package org.hawthornglade.core.overload;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import org.hawthornglade.core.dispatch.SlotSupply;
import org.hawthornglade.core.id.ServiceName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bursts at servers with a fixed number of slots, in virtual time, with and without early refusals. */
class OverloadSimulationTest {
    private static final ServiceName SERVICE = ServiceName.of("audits");
    private static final int SLOTS = 32;
    private static final double CALL_MS = 400;
    private static final long DEADLINE_MS = 3_000;
    private static final long END_MS = 60_000;
    private static final long BURST_BEGIN_MS = 20_000;
    private static final long BURST_END_MS = 40_000;

    private record Waiting(long arrivedAtMs) {}

    private record Running(long arrivedAtMs, long sentAtMs, long endAtMs) {}

    /** A call counts as served if its response ended before its deadline. */
    private record Outcome(int served, int refusedEarly, double meanMsUntilRefusal, int refusedWithRoom) {}

    /** Runs one entry that decides on all waiting calls each millisecond. */
    private static Outcome run(boolean early, double usualLoad, double burst, boolean noise, long seed) {
        Random random = new Random(seed);
        ServiceTimes times = new ServiceTimes();
        Deque<Waiting> waiting = new ArrayDeque<>();
        PriorityQueue<Running> running =
                new PriorityQueue<>((one, other) -> Long.compare(one.endAtMs(), other.endAtMs()));
        List<Long> refusals = new ArrayList<>();
        int served = 0;
        int refusedEarly = 0;
        int refusedWithRoom = 0;
        for (long nowMs = 0; nowMs < END_MS; nowMs++) {
            while (!running.isEmpty() && running.peek().endAtMs() <= nowMs) {
                Running ended = running.poll();
                long tookMs = nowMs - ended.sentAtMs();
                times.onCompleted(SERVICE, Optional.empty(), tookMs, tookMs, nowMs);
                served += nowMs <= ended.arrivedAtMs() + DEADLINE_MS ? 1 : 0;
            }
            boolean inBurst = nowMs >= BURST_BEGIN_MS && nowMs < BURST_END_MS;
            double perMs = usualLoad * SLOTS / CALL_MS * (inBurst ? burst : 1);
            for (double expected = perMs; expected > 0; expected--) {
                if (random.nextDouble() < expected) {
                    waiting.addLast(new Waiting(nowMs));
                }
            }
            while (!waiting.isEmpty() && running.size() < SLOTS) {
                long arrivedAtMs = waiting.removeFirst().arrivedAtMs();
                double slowdown = noise && nowMs % 4_000 < 600 ? 2.5 : 1;
                long tookMs = Math.round(CALL_MS * slowdown * (0.5 + random.nextDouble()));
                running.add(new Running(arrivedAtMs, nowMs, nowMs + tookMs));
            }
            int ahead = 0;
            for (Iterator<Waiting> calls = waiting.iterator(); calls.hasNext(); ) {
                Waiting call = calls.next();
                long leftMs = call.arrivedAtMs() + DEADLINE_MS - nowMs;
                boolean late = early && tooLate(times, ahead, running.size(), leftMs, nowMs);
                if (late || leftMs <= 0) {
                    calls.remove();
                    refusals.add(nowMs - call.arrivedAtMs());
                    refusedEarly += late ? 1 : 0;
                    refusedWithRoom += running.size() < SLOTS ? 1 : 0;
                } else {
                    ahead++;
                }
            }
        }
        double meanMs = refusals.stream().mapToLong(each -> each).average().orElse(0);
        return new Outcome(served, refusedEarly, meanMs, refusedWithRoom);
    }

    private static boolean tooLate(ServiceTimes times, int ahead, int inFlight, long leftMs, long nowMs) {
        SlotSupply supply = new SlotSupply(1, inFlight, inFlight, inFlight < SLOTS, OptionalLong.empty());
        return times.of(SERVICE, Optional.empty(), nowMs)
                .map(time -> StartPrediction.of(ahead, supply, 1, time, nowMs).tooLate(leftMs, leftMs < DEADLINE_MS))
                .orElse(false);
    }

    /** In a burst calls waited until their deadline; those that cannot be served must learn it much sooner. */
    @ParameterizedTest
    @CsvSource({"0.8, 1.8, false", "0.8, 2.5, false", "0.8, 2.5, true", "0.9, 2.5, true"})
    void burstIsRefusedEarlyWithoutServingLess(double usualLoad, double burst, boolean noise) {
        for (long seed = 1; seed <= 5; seed++) {
            Outcome before = run(false, usualLoad, burst, noise, seed);
            Outcome after = run(true, usualLoad, burst, noise, seed);
            assertThat(before.meanMsUntilRefusal()).isAtLeast((double) DEADLINE_MS);
            assertThat(after.meanMsUntilRefusal()).isAtMost(DEADLINE_MS / 4.0);
            assertThat(after.served()).isAtLeast((int) (0.99 * before.served()));
            assertThat(after.refusedWithRoom()).isEqualTo(0);
        }
    }

    /** Usual load with noise of servers must not look like an overload. */
    @ParameterizedTest
    @CsvSource({"0.5, true", "0.8, false"})
    void usualLoadIsNotRefused(double usualLoad, boolean noise) {
        for (long seed = 1; seed <= 5; seed++) {
            assertThat(run(true, usualLoad, 1, noise, seed).refusedEarly()).isEqualTo(0);
        }
    }
}

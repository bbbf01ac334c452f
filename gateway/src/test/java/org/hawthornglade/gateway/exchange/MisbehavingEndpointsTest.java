package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.hawthornglade.gateway.exchange.MisbehavingEndpoint.Copies;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Several callers use three endpoints that reject, fail and repeat responses, by seed; tested over sockets. */
class MisbehavingEndpointsTest {
    /** More by hand: {@code -Dsimulation.seeds=50}. */
    private static final int SEEDS = Integer.getInteger("simulation.seeds", 3);

    /** Time of a call to its deadline; a cut copy may swallow the response, and is waited for in vain. */
    private static final int CUT_TIME_MS = 400;

    private static final int WHOLE_TIME_MS = 4_000;
    private static final int CALLERS = 6;
    private static final int CALLS = 30;

    /** Callers got a response to another call, or 502 where an endpoint had given its own response. */
    @ParameterizedTest(name = "copies: {0}")
    @EnumSource
    void callersGetTheResponsesOfTheirOwnRuns(Copies copies) throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            List<JudgingCaller> callers = play(seed, copies);
            List<String> faults = new ArrayList<>();
            callers.forEach(caller -> faults.addAll(caller.faults()));
            assertWithMessage("seed %s", seed).that(faults).isEmpty();
            assertThat(callers.stream().mapToInt(JudgingCaller::signed).sum()).isAtLeast(CALLERS * CALLS / 4);
            if (copies != Copies.ANY) {
                List<String> lost = new ArrayList<>();
                callers.forEach(caller -> lost.addAll(caller.lost()));
                assertWithMessage("502 or 504, seed %s", seed).that(lost).isEmpty();
            }
        }
    }

    private static List<JudgingCaller> play(int seed, Copies copies) throws Exception {
        RunLog runs = new RunLog();
        List<JudgingCaller> callers = new ArrayList<>();
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        try (MisbehavingEndpoint first = new MisbehavingEndpoint(runs, seed * 10L, copies);
                MisbehavingEndpoint second = new MisbehavingEndpoint(runs, seed * 10L + 1, copies);
                MisbehavingEndpoint third = new MisbehavingEndpoint(runs, seed * 10L + 2, copies);
                TestEntry entry = TestEntry.ofPorts(
                        List.of(first.port(), second.port(), third.port()), new RetryBudgets(0.2, 10))) {
            List<Future<?>> ends = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                JudgingCaller caller = new JudgingCaller(
                        entry, runs, seed * 100 + i, CALLS, copies == Copies.ANY ? CUT_TIME_MS : WHOLE_TIME_MS);
                callers.add(caller);
                ends.add(threads.submit(caller));
            }
            for (Future<?> end : ends) {
                end.get();
            }
        } finally {
            threads.shutdownNow();
        }
        callers.forEach(JudgingCaller::judgeRuns);
        return callers;
    }
}

package org.hawthornglade.entry.attempt;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.entry.claim.FaultyTable;
import org.hawthornglade.standin.table.InMemoryTableService;
import org.hawthornglade.standin.table.TableSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class AtMostOnceTest {
    /** Simulates the death of a process. */
    private static final class KilledException extends RuntimeException {}

    private final ManualClock clock = new ManualClock(1_000);
    private final FaultyTable table =
            new FaultyTable(new InMemoryTableService(new TableSettings("table", 0, 1_000_000, 1_000_000, null), clock));
    private final FakeAgent agent = new FakeAgent();
    private final EntryHarness entry = new EntryHarness(clock, table, agent);
    private final EntryHarness other = new EntryHarness(clock, table, agent);

    /** The faults of the first call's attempts, its result, that of the same key at another entry, and the runs. */
    @ParameterizedTest
    @CsvSource({
        "NONE, NONE, OK, REPLAYED, 1",
        "NOT_SENT, NONE, OK, REPLAYED, 1",
        "DRAINING, NONE, OK, REPLAYED, 1",
        "LOST, NONE, OK, REPLAYED, 1",
        "LATE, NONE, OK, REPLAYED, 1",
        "LATE_AND_CANCEL_LOST, NONE, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, 1",
        "RUN_AND_BROKEN, NONE, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, 1",
        "RUN_AND_CANCEL_LOST, NONE, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, 1",
        "RUN_AND_CUT, NONE, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, 1",
        "RUN_AND_CROSSED, NONE, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, 1",
        "DRAINING, RUN_AND_BROKEN, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, 1",
    })
    void runsOnceUnderEachFault(
            FakeAgent.Fault first, FakeAgent.Fault second, String expected, String expectedOfRepeat, int runs)
            throws InterruptedException {
        agent.queueFaults(first, second);
        assertThat(nameOf(entry.confirm("r1", "key"))).isEqualTo(expected);
        agent.deliverDelayed();
        assertThat(nameOf(other.confirm("r2", "key"))).isEqualTo(expectedOfRepeat);
        assertThat(agent.runs()).hasSize(runs);
    }

    @Test
    void aRepeatedCallGetsTheRecordedResponse() throws InterruptedException {
        CompleteResponse first = entry.confirm("r1", "key").get();
        CompleteResponse repeated = other.confirm("r2", "key").get();
        assertThat(new String(repeated.body(), UTF_8)).isEqualTo(new String(first.body(), UTF_8));
        assertThat(repeated.contentType()).isEqualTo("text/plain");
        assertThat(repeated.replayed()).isTrue();
        assertThat(first.replayed()).isFalse();
    }

    @Test
    void aKeyReusedWithAnotherBodyIsNotRun() throws InterruptedException {
        entry.confirm("r1", "key");
        assertThat(nameOf(other.confirm("r2", "key", "other body"))).isEqualTo("IDEMPOTENCY_KEY_REUSED");
        assertThat(agent.runs()).hasSize(1);
    }

    @Test
    void anEntryKilledBetweenClaimAndDispatchLeavesTheOutcomeUnknown() throws InterruptedException {
        entry.claims().afterClaim(() -> kill(entry));
        assertThrows(KilledException.class, () -> entry.confirm("r1", "key"));
        assertThat(nameOf(other.confirm("r2", "key"))).isEqualTo("CALL_IN_PROGRESS");
        clock.advance(1_000_000);
        assertThat(nameOf(other.confirm("r3", "key"))).isEqualTo("OUTCOME_UNKNOWN");
        assertThat(agent.runs()).isEmpty();
    }

    @Test
    void anEntryKilledBetweenDispatchAndResponseLeavesTheOutcomeUnknown() throws InterruptedException {
        agent.afterRun(() -> kill(entry));
        assertThrows(KilledException.class, () -> entry.confirm("r1", "key"));
        agent.afterRun(() -> {});
        clock.advance(1_000_000);
        assertThat(nameOf(other.confirm("r2", "key"))).isEqualTo("OUTCOME_UNKNOWN");
        assertThat(agent.runs()).hasSize(1);
    }

    @Test
    void anEntryFrozenAfterTheClaimSendsNothingOnceTheDeadlineHasPassed() throws InterruptedException {
        entry.claims().afterClaim(() -> clock.advance(EntryHarness.DEADLINE_MS + 1));
        assertThat(nameOf(entry.confirm("r1", "key"))).isEqualTo("DEADLINE_PASSED_WAITING");
        assertThat(agent.runs()).isEmpty();
        assertThat(nameOf(other.confirm("r2", "key"))).isEqualTo("OK");
    }

    @Test
    void theSameKeyAtTwoEntriesAtOnceRunsOnce() throws InterruptedException {
        Map<String, String> results = new HashMap<>();
        agent.beforeSend(() -> results.computeIfAbsent("r2", request -> nameOf(confirm(other, request, "key"))));
        assertThat(nameOf(entry.confirm("r1", "key"))).isEqualTo("OK");
        assertThat(results).containsExactly("r2", "CALL_IN_PROGRESS");
        assertThat(agent.runs()).hasSize(1);
    }

    @Property(seed = "20261204", tries = 1_500)
    void neverRunsTwiceAndNeverReportsARunCallAsNotRun(@ForAll long seed) {
        // All tries of a property share one instance of the test.
        new AtMostOnceTest().callAtThreeEntries(new Random(seed));
    }

    private void callAtThreeEntries(Random random) {
        Observer observer = new Observer();
        table.setFaults(() -> pick(random, FaultyTable.Fault.values(), 0.75));
        agent.setFaults(() -> pick(random, FakeAgent.Fault.values(), 0.5));
        EntryHarness[] entries = {entry, other, new EntryHarness(clock, table, agent)};
        for (int call = 0; call < 12; call++) {
            int number = random.nextInt(entries.length);
            String request = "r" + call;
            String key = "key" + random.nextInt(3);
            injectEntryFaults(random, entries[number]);
            try {
                observer.record(request, confirm(entries[number], request, key));
            } catch (KilledException e) {
                entries[number] = new EntryHarness(clock, table, agent);
            }
            agent.afterRun(() -> {});
            if (random.nextInt(4) == 0) {
                table.deliverDelayed();
                agent.deliverDelayed();
            }
        }
        table.deliverDelayed();
        agent.deliverDelayed();
        observer.check();
    }

    private void injectEntryFaults(Random random, EntryHarness harness) {
        Runnable nothing = () -> {};
        harness.claims()
                .afterClaim(
                        switch (random.nextInt(6)) {
                            case 0 -> () -> kill(harness);
                            case 1 -> () -> clock.advance(random.nextInt(20_000));
                            default -> nothing;
                        });
        if (random.nextInt(8) == 0) {
            agent.afterRun(() -> kill(harness));
        }
    }

    private static void kill(EntryHarness harness) {
        harness.claims().kill();
        throw new KilledException();
    }

    private static <T> T pick(Random random, T[] values, double firstShare) {
        return random.nextDouble() < firstShare ? values[0] : values[random.nextInt(values.length)];
    }

    private static Either<Failure, CompleteResponse> confirm(EntryHarness entry, String request, String key) {
        try {
            return entry.confirm(request, key);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String nameOf(Either<Failure, CompleteResponse> response) {
        return response.fold(failure -> failure.code().name(), complete -> complete.replayed() ? "REPLAYED" : "OK");
    }

    /** Compares the responses to callers with the runs of the service. */
    private final class Observer {
        private final Map<String, Either<Failure, CompleteResponse>> responses = new HashMap<>();

        void record(String request, Either<Failure, CompleteResponse> response) {
            responses.put(request, response);
        }

        void check() {
            Map<String, String> ranBy = new HashMap<>();
            for (FakeAgent.Run run : agent.runs()) {
                assertThat(ranBy.put(run.key(), run.request())).isNull();
            }
            responses.forEach((request, response) -> {
                boolean wasRun = ranBy.containsValue(request);
                if (response.isLeft()) {
                    ResultCode code = response.getLeft().code();
                    assertThat(wasRun && code.execution() == Execution.NOT_RUN).isFalse();
                } else {
                    String body = new String(response.get().body(), UTF_8);
                    String key = body.substring(body.lastIndexOf(' ') + 1);
                    assertThat(body).isEqualTo("ran " + ranBy.get(key) + " " + key);
                    assertThat(wasRun).isEqualTo(!response.get().replayed());
                }
            });
        }
    }
}

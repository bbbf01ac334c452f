package org.hawthornglade.standin.table;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.hawthornglade.standin.Eventually.eventually;

import io.vavr.control.Either;
import java.util.List;
import java.util.stream.IntStream;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.TransactionOutcome;
import org.hawthornglade.ports.table.Write;
import org.hawthornglade.standin.fault.FaultCase;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.fault.FaultScriptBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that every implementation of the table service must pass. */
abstract class TableServiceContract {
    private static final int LONG_TIMEOUT_MS = 20_000;
    private static final String TABLE = "claims";

    /** Opens a service with a fault script. */
    abstract TableService open(FaultScript script, int timeoutMs);

    /** Returns the stand-in's table service without faults. */
    abstract InMemoryTableService standin();

    private TableService open() {
        return open(FaultScript.NONE, LONG_TIMEOUT_MS);
    }

    private static Transaction insert(String key, String json) {
        return new Transaction(List.of(Condition.absent(TABLE, key)), List.of(Write.put(TABLE, key, json)));
    }

    @ParameterizedTest
    @MethodSource("org.hawthornglade.standin.fault.FaultCase#all")
    void mapsFaultsToResultCodes(FaultCase fault) {
        TableService service = open(fault.script(), fault.timeoutMs());

        Either<Failure, TransactionOutcome> changed = service.transact(insert("k", "{}"));
        assertThat(FaultCase.codeOf(changed)).isEqualTo(fault.change());
        assertThat(FaultCase.codeOf(service.read(TABLE, "k"))).isEqualTo(fault.read());
        assertThat(FaultCase.codeOf(service.scan(TABLE, ""))).isEqualTo(fault.read());
        if (fault.retryAfterMs() > 0) {
            assertThat(changed.getLeft().retryAfterMs()).isEqualTo(fault.retryAfterMs());
        }
        if (fault.takesEffect()) {
            eventually("the write", () -> standin().read(TABLE, "k").get().isPresent());
        }
        assertThat(standin().read(TABLE, "k").get().isPresent()).isEqualTo(fault.takesEffect());
    }

    @Test
    void everySecondCallFails() {
        TableService service = open(new FaultScriptBuilder().failEvery(2, 503).build(), LONG_TIMEOUT_MS);

        List<Boolean> answered = IntStream.range(0, 6)
                .mapToObj(i -> service.read(TABLE, "k").isRight())
                .toList();
        assertThat(answered)
                .containsExactly(true, false, true, false, true, false)
                .inOrder();
    }

    @Test
    void everyThirdChangeTakesEffectButLosesItsReply() {
        TableService service = open(new FaultScriptBuilder().loseReplyEvery(3).build(), LONG_TIMEOUT_MS);

        List<ResultCode> codes = IntStream.range(0, 6)
                .mapToObj(i -> FaultCase.codeOf(service.transact(insert("k" + i, "{}"))))
                .toList();
        assertThat(codes.stream().filter(ResultCode.PLATFORM_OUTCOME_UNKNOWN::equals))
                .hasSize(2);
        assertThat(standin().scan(TABLE, "k").get()).hasSize(6);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "a/b", "a b", "%2F", "é", "a+b", "a?b#c", "..", "a;b=c", "a\\b"})
    void storesKeysWithSpecialCharacters(String key) {
        TableService service = open();

        assertThat(service.transact(insert(key, "{\"n\":1}")).get().committed()).isTrue();
        Row row = service.read(TABLE, key).get().orElseThrow();
        assertThat(row.key()).isEqualTo(key);
        assertThat(row.json()).isEqualTo("{\"n\":1}");
        assertThat(service.scan(TABLE, key).get()).containsExactly(row);
        assertThat(service.read(TABLE, key + "x").get()).isEmpty();
    }

    @Test
    void commitsAllWritesOrNone() {
        TableService service = open();
        service.transact(insert("a", "1"));
        Transaction both = new Transaction(
                List.of(Condition.absent(TABLE, "a"), Condition.absent(TABLE, "b")),
                List.of(Write.put(TABLE, "a", "2"), Write.put(TABLE, "b", "2")));

        TransactionOutcome outcome = service.transact(both).get();

        assertThat(outcome.committed()).isFalse();
        assertThat(outcome.conflicts())
                .containsExactly(service.read(TABLE, "a").get().orElseThrow());
        assertThat(service.read(TABLE, "b").get()).isEmpty();
    }

    @Test
    void reportsAConflictOnAnAbsentRow() {
        TransactionOutcome outcome = open().transact(
                        new Transaction(List.of(new Condition(TABLE, "gone", 7)), List.of()))
                .get();

        assertThat(outcome.committed()).isFalse();
        assertThat(outcome.conflicts()).containsExactly(new Row(TABLE, "gone", Condition.ABSENT, null));
    }

    @Test
    void revisionsAreNeverReused() {
        TableService service = open();
        service.transact(insert("k", "1"));
        Row first = service.read(TABLE, "k").get().orElseThrow();
        service.transact(new Transaction(List.of(Condition.unchanged(first)), List.of(Write.delete(TABLE, "k"))));
        service.transact(insert("k", "1"));
        Row second = service.read(TABLE, "k").get().orElseThrow();

        assertThat(second.revision()).isGreaterThan(first.revision());
        Transaction stale = new Transaction(List.of(Condition.unchanged(first)), List.of(Write.delete(TABLE, "k")));
        assertThat(service.transact(stale).get().committed()).isFalse();
    }

    @Test
    void scansByAscendingKey() {
        TableService service = open();
        List.of("p/2", "q", "p/10", "o", "p/1").forEach(key -> service.transact(insert(key, "{}")));

        assertThat(service.scan(TABLE, "p/").get().stream().map(Row::key))
                .containsExactly("p/1", "p/10", "p/2")
                .inOrder();
        assertThat(service.scan("other", "").get()).isEmpty();
    }

    @Test
    void rejectsTwoWritesOfOneRow() {
        Transaction twice = new Transaction(List.of(), List.of(Write.put(TABLE, "k", "1"), Write.put(TABLE, "k", "2")));

        assertThat(open().transact(twice).getLeft().code()).isEqualTo(ResultCode.PLATFORM_REJECTED);
        assertThat(standin().read(TABLE, "k").get()).isEmpty();
    }

    @Test
    void limitsTheRateAndStatesARetryAfterTime() {
        TableService service = open();
        for (int i = 0; i < 100_000; i++) {
            Either<Failure, TransactionOutcome> result = service.transact(insert("k" + i, "{}"));
            if (result.isLeft()) {
                assertThat(result.getLeft().code()).isEqualTo(ResultCode.PLATFORM_RATE_LIMITED);
                assertThat(result.getLeft().retryAfterMs()).isGreaterThan(0);
                assertThat(standin().read(TABLE, "k" + i).get()).isEmpty();
                return;
            }
        }
        assertWithMessage("no limit in 100000 writes").fail();
    }
}

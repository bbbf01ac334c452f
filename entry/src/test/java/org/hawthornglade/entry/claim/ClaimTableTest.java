package org.hawthornglade.entry.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.entry.claim.FaultyTable.Fault;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.Write;
import org.hawthornglade.standin.table.InMemoryTableService;
import org.hawthornglade.standin.table.TableSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ClaimTableTest {
    private static final OrganisationId MILL = OrganisationId.of("mill");
    private static final long DEADLINE_MS = 30_000;

    private final ManualClock clock = new ManualClock(1_000);
    private final InMemoryTableService store = new InMemoryTableService(TableSettings.of("table"), clock);
    private final FaultyTable faulty = new FaultyTable(store);
    private final ClaimTable claims = new ClaimTable(faulty, clock);

    /** The faults of the calls in turn, what the claim gives, and what a second request with the key hears after it. */
    @ParameterizedTest
    @CsvSource({
        "NONE, NONE, Taken, HeldByOther",
        "DOWN, NONE, CLAIM_NOT_POSSIBLE, Taken",
        "LOST_BEFORE, NONE, CLAIM_NOT_POSSIBLE, Taken",
        "LOST_AFTER, NONE, Taken, HeldByOther",
        "LOST_AFTER, DOWN, CLAIM_NOT_POSSIBLE, Taken",
        "LATE, NONE, CLAIM_NOT_POSSIBLE, Taken",
    })
    void resolvesEachFault(Fault first, Fault second, String mine, String others) {
        faulty.next(first, second);
        ClaimTry one = attempt("a", "1");
        ClaimVerdict verdict = claims.claim(List.of(one)).get(0);
        assertThat(nameOf(verdict)).isEqualTo(mine);
        if (verdict.mayBeHeld()) {
            assertThat(claims.settle(List.of(Settlement.notRun(one))).isRight()).isTrue();
        }
        assertThat(nameOf(claims.claim(List.of(attempt("a", "2"))).get(0))).isEqualTo(others);
    }

    @Test
    void aClaimThatArrivesLateDoesNotUndoTheGivingBack() {
        faulty.next(Fault.LATE);
        ClaimTry one = attempt("a", "1");
        assertThat(claims.claim(List.of(one)).get(0).mayBeHeld()).isTrue();
        claims.settle(List.of(Settlement.notRun(one)));
        assertThat(nameOf(claims.claim(List.of(attempt("a", "2"))).get(0))).isEqualTo("Taken");
        faulty.deliverLate();
        assertThat(ClaimJson.read(store.read(ClaimTable.TABLE, one.key().rowKey())
                                .get()
                                .get())
                        .get()
                        .request())
                .isEqualTo("2");
    }

    @Test
    void aRefusedClaimThatArrivesLateKeepsNobodyOff() {
        faulty.next(Fault.LATE);
        ClaimTry one = attempt("a", "1");
        claims.claim(List.of(one));
        claims.settle(List.of(Settlement.notRun(one)));
        faulty.deliverLate();
        assertThat(nameOf(claims.claim(List.of(attempt("a", "2"))).get(0))).isEqualTo("Taken");
    }

    @Test
    void claimsOfAGroupShareOneTransaction() {
        List<ClaimTry> group = IntStream.range(0, 40)
                .mapToObj(number -> attempt("key-" + number, "r" + number))
                .toList();
        assertThat(claims.claim(group).stream().map(ClaimTableTest::nameOf).distinct())
                .containsExactly("Taken");
        assertThat(faulty.transactions()).isEqualTo(1);
    }

    @Test
    void aConflictingRowDoesNotFailItsNeighbours() {
        claims.claim(List.of(attempt("held", "earlier")));
        List<ClaimVerdict> verdicts =
                claims.claim(List.of(attempt("a", "1"), attempt("held", "2"), attempt("b", "3"), attempt("b", "4")));
        assertThat(verdicts.stream().map(ClaimTableTest::nameOf))
                .containsExactly("Taken", "HeldByOther", "Taken", "HeldByOther")
                .inOrder();
    }

    @Test
    void aRowThatIsNoClaimIsNeverRunAndFailsNobodyElse() {
        String row = attempt("bad", "1").key().rowKey();
        store.transact(new Transaction(
                List.of(Condition.absent(ClaimTable.TABLE, row)), List.of(Write.put(ClaimTable.TABLE, row, "{"))));
        List<ClaimVerdict> verdicts = claims.claim(List.of(attempt("bad", "1"), attempt("good", "2")));
        assertThat(verdicts.stream().map(ClaimTableTest::nameOf))
                .containsExactly("HeldByOther", "Taken")
                .inOrder();
    }

    @Test
    void aKeyReusedForAnotherCallIsItsOwnError() {
        claims.claim(List.of(attempt("a", "1")));
        ClaimTry other = new ClaimTry(new ClaimKey(MILL, "a", "another"), RequestId.of("2"), DEADLINE_MS);
        assertThat(nameOf(claims.claim(List.of(other)).get(0))).isEqualTo("IDEMPOTENCY_KEY_REUSED");
    }

    @Test
    void aSettledClaimIsNotSettledAgain() {
        ClaimTry one = attempt("a", "1");
        claims.claim(List.of(one));
        claims.settle(List.of(Settlement.unknown(one)));
        claims.settle(List.of(Settlement.notRun(one)));
        ClaimResult seen =
                claims.claim(List.of(attempt("a", "2"))).get(0).result().get();
        assertThat(((ClaimResult.HeldByOther) seen).claim().state()).isEqualTo(Claim.State.UNKNOWN);
    }

    @Test
    void cleansOnlyWhatIsPastTheRetention() {
        long retentionMs = 86_400_000;
        claims.claim(List.of(attempt("old", "1")));
        clock.advance(retentionMs);
        claims.claim(
                List.of(new ClaimTry(new ClaimKey(MILL, "new", "f"), RequestId.of("2"), clock.nowMs() + DEADLINE_MS)));
        clock.advance(DEADLINE_MS);
        ClaimCleaner cleaner = new ClaimCleaner(store, clock, retentionMs, 7);
        int deleted = 0;
        for (int shard = 0; shard < 256; shard++) {
            deleted += cleaner.cleanNext(List.of(MILL)).get();
            clock.advance(1);
        }
        assertThat(deleted).isEqualTo(1);
        assertThat(store.scan(ClaimTable.TABLE, "mill/").get()).hasSize(1);
    }

    private static ClaimTry attempt(String key, String request) {
        return new ClaimTry(new ClaimKey(MILL, key, "f"), RequestId.of(request), DEADLINE_MS);
    }

    private static String nameOf(ClaimVerdict verdict) {
        return verdict.result()
                .fold(
                        failure -> failure.code().name(),
                        result -> result.getClass().getSimpleName());
    }

    @Test
    void refusalsNameATimeToComeBack() {
        faulty.next(Fault.DOWN);
        ClaimVerdict verdict = claims.claim(List.of(attempt("a", "1"))).get(0);
        assertThat(verdict.result().getLeft().code()).isEqualTo(ResultCode.CLAIM_NOT_POSSIBLE);
        assertThat(verdict.result().getLeft().retryAfterMs()).isAtLeast(1_000);
    }
}

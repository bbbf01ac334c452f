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

    /** The faults of the store calls in turn, the result of the claim, and that of a later claim on the same key. */
    @ParameterizedTest
    @CsvSource({
        "NONE, NONE, Taken, HeldByOther",
        "DOWN, NONE, CLAIM_NOT_POSSIBLE, Taken",
        "LOST_BEFORE, NONE, CLAIM_NOT_POSSIBLE, Taken",
        "LOST_AFTER, NONE, Taken, HeldByOther",
        "LOST_AFTER, DOWN, CLAIM_NOT_POSSIBLE, Taken",
        "LATE, NONE, CLAIM_NOT_POSSIBLE, Taken",
    })
    void resolvesEachFault(Fault first, Fault second, String expected, String expectedOfOther) {
        faulty.queueFaults(first, second);
        ClaimRequest claim = claimRequest("a", "1");
        ClaimDecision decision = claims.claim(List.of(claim)).get(0);
        assertThat(nameOf(decision)).isEqualTo(expected);
        if (decision.mayHoldRow()) {
            assertThat(claims.settle(List.of(Settlement.notRun(claim))).isRight())
                    .isTrue();
        }
        assertThat(nameOf(claims.claim(List.of(claimRequest("a", "2"))).get(0))).isEqualTo(expectedOfOther);
    }

    @Test
    void aDelayedClaimDoesNotOverwriteTheRelease() {
        faulty.queueFaults(Fault.LATE);
        ClaimRequest claim = claimRequest("a", "1");
        assertThat(claims.claim(List.of(claim)).get(0).mayHoldRow()).isTrue();
        claims.settle(List.of(Settlement.notRun(claim)));
        assertThat(nameOf(claims.claim(List.of(claimRequest("a", "2"))).get(0))).isEqualTo("Taken");
        faulty.deliverDelayed();
        assertThat(ClaimJson.decode(store.read(ClaimTable.TABLE, claim.key().rowKey())
                                .get()
                                .get())
                        .get()
                        .request())
                .isEqualTo("2");
    }

    @Test
    void aDelayedFailedClaimDoesNotBlockOtherRequests() {
        faulty.queueFaults(Fault.LATE);
        ClaimRequest claim = claimRequest("a", "1");
        claims.claim(List.of(claim));
        claims.settle(List.of(Settlement.notRun(claim)));
        faulty.deliverDelayed();
        assertThat(nameOf(claims.claim(List.of(claimRequest("a", "2"))).get(0))).isEqualTo("Taken");
    }

    @Test
    void claimsOfAGroupShareOneTransaction() {
        List<ClaimRequest> group = IntStream.range(0, 40)
                .mapToObj(number -> claimRequest("key-" + number, "r" + number))
                .toList();
        assertThat(claims.claim(group).stream().map(ClaimTableTest::nameOf).distinct())
                .containsExactly("Taken");
        assertThat(faulty.transactions()).isEqualTo(1);
    }

    @Test
    void aConflictingRowDoesNotFailTheRestOfItsGroup() {
        claims.claim(List.of(claimRequest("held", "earlier")));
        List<ClaimDecision> decisions = claims.claim(List.of(
                claimRequest("a", "1"), claimRequest("held", "2"), claimRequest("b", "3"), claimRequest("b", "4")));
        assertThat(decisions.stream().map(ClaimTableTest::nameOf))
                .containsExactly("Taken", "HeldByOther", "Taken", "HeldByOther")
                .inOrder();
    }

    @Test
    void anUnreadableRowIsNeverClaimedAndFailsNoOtherClaim() {
        String row = claimRequest("bad", "1").key().rowKey();
        store.transact(new Transaction(
                List.of(Condition.absent(ClaimTable.TABLE, row)), List.of(Write.put(ClaimTable.TABLE, row, "{"))));
        List<ClaimDecision> decisions = claims.claim(List.of(claimRequest("bad", "1"), claimRequest("good", "2")));
        assertThat(decisions.stream().map(ClaimTableTest::nameOf))
                .containsExactly("HeldByOther", "Taken")
                .inOrder();
    }

    @Test
    void aKeyReusedForAnotherCallIsRejected() {
        claims.claim(List.of(claimRequest("a", "1")));
        ClaimRequest other = new ClaimRequest(new ClaimKey(MILL, "a", "another"), RequestId.of("2"), DEADLINE_MS);
        assertThat(nameOf(claims.claim(List.of(other)).get(0))).isEqualTo("IDEMPOTENCY_KEY_REUSED");
    }

    @Test
    void aSettledClaimIsNotSettledAgain() {
        ClaimRequest claim = claimRequest("a", "1");
        claims.claim(List.of(claim));
        claims.settle(List.of(Settlement.unknown(claim)));
        claims.settle(List.of(Settlement.notRun(claim)));
        ClaimResult seen =
                claims.claim(List.of(claimRequest("a", "2"))).get(0).result().get();
        assertThat(((ClaimResult.HeldByOther) seen).claim().state()).isEqualTo(Claim.State.UNKNOWN);
    }

    @Test
    void deletesOnlyClaimsPastTheRetentionPeriod() {
        long retentionMs = 86_400_000;
        claims.claim(List.of(claimRequest("old", "1")));
        clock.advance(retentionMs);
        claims.claim(List.of(
                new ClaimRequest(new ClaimKey(MILL, "new", "f"), RequestId.of("2"), clock.nowMs() + DEADLINE_MS)));
        clock.advance(DEADLINE_MS);
        ClaimCleaner cleaner = new ClaimCleaner(store, clock, retentionMs, 7);
        int deleted = 0;
        for (int shard = 0; shard < 256; shard++) {
            deleted += cleaner.cleanNextShard(List.of(MILL)).get();
            clock.advance(1);
        }
        assertThat(deleted).isEqualTo(1);
        assertThat(store.scan(ClaimTable.TABLE, "mill/").get()).hasSize(1);
    }

    private static ClaimRequest claimRequest(String key, String request) {
        return new ClaimRequest(new ClaimKey(MILL, key, "f"), RequestId.of(request), DEADLINE_MS);
    }

    private static String nameOf(ClaimDecision decision) {
        return decision.result()
                .fold(
                        failure -> failure.code().name(),
                        result -> result.getClass().getSimpleName());
    }

    @Test
    void refusalsCarryARetryAfterTime() {
        faulty.queueFaults(Fault.DOWN);
        ClaimDecision decision = claims.claim(List.of(claimRequest("a", "1"))).get(0);
        assertThat(decision.result().getLeft().code()).isEqualTo(ResultCode.CLAIM_NOT_POSSIBLE);
        assertThat(decision.result().getLeft().retryAfterMs()).isAtLeast(1_000);
    }
}

package org.hawthornglade.entry.claim;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.TransactionOutcome;
import org.hawthornglade.standin.table.InMemoryTableService;
import org.hawthornglade.standin.table.TableSettings;
import org.junit.jupiter.api.Test;

final class GroupedClaimsTest {
    private static final int THREADS = 8;
    private static final int KEYS = 40;
    private static final int CLAIMS = 160;
    private static final long DEADLINE_MS = 30_000;

    private final ManualClock clock = new ManualClock(0);
    private final InMemoryTableService store =
            new InMemoryTableService(new TableSettings("table", 0, 1_000_000, 1_000_000, null), clock);

    @Test
    void eachKeyIsTakenByOneOfManyThreads() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try (GroupedClaims claims = startedClaims(store)) {
            List<Callable<Either<Failure, ClaimResult>>> calls = new ArrayList<>();
            for (int number = 0; number < CLAIMS; number++) {
                ClaimRequest claim = claimRequest("key" + number % KEYS, "r" + number, DEADLINE_MS);
                calls.add(() -> claims.claim(claim));
            }
            int taken = 0;
            for (Future<Either<Failure, ClaimResult>> done : threads.invokeAll(calls)) {
                taken += done.get().get() instanceof ClaimResult.Taken ? 1 : 0;
            }
            assertThat(taken).isEqualTo(KEYS);
        } finally {
            threads.shutdownNow();
        }
    }

    @Test
    void afterAFailureClaimsAreRefusedWithoutCallingTheStore() throws InterruptedException {
        FaultyTable faulty = new FaultyTable(store);
        faulty.setFaults(() -> FaultyTable.Fault.DOWN);
        try (GroupedClaims claims = startedClaims(faulty)) {
            assertThat(claims.claim(claimRequest("a", "r1", DEADLINE_MS)).isLeft())
                    .isTrue();
            for (int number = 0; number < 50; number++) {
                Failure failure =
                        claims.claim(claimRequest("b", "r2", DEADLINE_MS)).getLeft();
                assertThat(failure.code()).isEqualTo(ResultCode.CLAIM_NOT_POSSIBLE);
                assertThat(failure.retryAfterMs()).isGreaterThan(0);
            }
            assertThat(faulty.transactions()).isEqualTo(1);
        }
    }

    @Test
    void aClaimCommittedAfterTheRequestTimedOutIsReleased() throws InterruptedException {
        BlockingTable blocking = new BlockingTable(store);
        try (GroupedClaims claims = startedClaims(blocking)) {
            Either<Failure, ClaimResult> timedOut = claims.claim(claimRequest("a", "r1", 50));
            assertThat(timedOut.getLeft().code()).isEqualTo(ResultCode.CLAIM_NOT_POSSIBLE);
            blocking.release.countDown();
            blocking.settled.await();
            assertThat(claims.claim(claimRequest("a", "r2", DEADLINE_MS)).get()).isInstanceOf(ClaimResult.Taken.class);
        }
    }

    private GroupedClaims startedClaims(TableService table) {
        GroupedClaims claims = new GroupedClaims(table, clock, new Random(1));
        claims.start();
        return claims;
    }

    private static ClaimRequest claimRequest(String key, String request, long deadlineAtMs) {
        ClaimKey claimed = new ClaimKey(OrganisationId.of("mill"), key, "f");
        return new ClaimRequest(claimed, RequestId.of(request), deadlineAtMs);
    }

    /** A table service whose first transaction blocks until it is released, and which signals the end of the second. */
    private static final class BlockingTable implements TableService {
        private final TableService table;
        private final CountDownLatch release = new CountDownLatch(1);
        private final CountDownLatch settled = new CountDownLatch(2);

        BlockingTable(TableService table) {
            this.table = table;
        }

        @Override
        public Either<Failure, Optional<Row>> read(String name, String key) {
            return table.read(name, key);
        }

        @Override
        public Either<Failure, List<Row>> scan(String name, String keyPrefix) {
            return table.scan(name, keyPrefix);
        }

        @Override
        public Either<Failure, TransactionOutcome> transact(Transaction transaction) {
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Either<Failure, TransactionOutcome> outcome = table.transact(transaction);
            settled.countDown();
            return outcome;
        }
    }
}

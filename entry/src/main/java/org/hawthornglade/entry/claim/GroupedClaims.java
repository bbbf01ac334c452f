package org.hawthornglade.entry.claim;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.retry.Backoff;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.table.TableService;

/** Commits claims in groups: claims made within a few milliseconds share one transaction. */
public final class GroupedClaims implements Claims, AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int WRITERS = 4;
    private static final int MAX_GROUP = 64;
    private static final int MAX_QUEUED = 1_024;
    private static final long GROUP_WINDOW_MS = 2;
    private static final long MAX_CLAIM_WAIT_MS = 1_500;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final Backoff CIRCUIT_BACKOFF = new Backoff(500, 10_000);

    private final LinkedBlockingQueue<PendingClaim> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
    private final ReentrantLock groupLock = new ReentrantLock();
    private final List<Thread> writers = new ArrayList<>();
    private final ClaimTable table;
    private final ClaimSettler settler;
    private final StoreCircuitBreaker circuit;
    private final Clock clock;
    private volatile boolean closed;

    /**
     * Creates claims; the writer threads are not started.
     *
     * @param service the table service that stores the rows
     * @param clock the clock for deadlines and time stamps
     * @param random spreads retries
     */
    public GroupedClaims(TableService service, Clock clock, RandomGenerator random) {
        this.table = new ClaimTable(service, clock);
        this.settler = new ClaimSettler(table, random);
        this.circuit = new StoreCircuitBreaker(CIRCUIT_BACKOFF, random);
        this.clock = clock;
    }

    /** Starts the writer threads. */
    public void start() {
        settler.start();
        for (int number = 1; number <= WRITERS; number++) {
            Thread writer = new Thread(this::runWriter, "claims-" + number);
            writer.setDaemon(true);
            writer.start();
            writers.add(writer);
        }
    }

    @Override
    public Either<Failure, ClaimResult> claim(ClaimRequest claim) throws InterruptedException {
        long nowMs = clock.nowMs();
        long waitMs = Math.min(MAX_CLAIM_WAIT_MS, claim.deadlineAtMs() - nowMs);
        if (waitMs <= 0) {
            return Either.left(claimNotPossible("the deadline of the request has passed", RETRY_AFTER_MS));
        }
        long refusedForMs = circuit.retryAfterMs(nowMs);
        if (refusedForMs > 0) {
            return Either.left(claimNotPossible("the table service is not available", refusedForMs));
        }
        PendingClaim pending = PendingClaim.of(claim);
        if (!queue.offer(pending)) {
            return Either.left(claimNotPossible("too many claims are queued", RETRY_AFTER_MS));
        }
        return awaitDecision(pending, waitMs);
    }

    @Override
    public CompletableFuture<Boolean> settle(Settlement settlement) {
        return settler.settle(settlement);
    }

    /** Ends the writer threads and records the remaining settlements, as far as the table service responds. */
    @Override
    public void close() {
        closed = true;
        writers.forEach(Thread::interrupt);
        settler.close();
    }

    private Either<Failure, ClaimResult> awaitDecision(PendingClaim pending, long waitMs) throws InterruptedException {
        try {
            return pending.decision().get(waitMs, TimeUnit.MILLISECONDS).result();
        } catch (TimeoutException e) {
            if (pending.decision().cancel(false)) {
                return Either.left(claimNotPossible("the table service did not respond in time", RETRY_AFTER_MS));
            }
            return pending.decision().join().result();
        } catch (InterruptedException e) {
            if (!pending.decision().cancel(false)) {
                release(pending.claim(), pending.decision().join());
            }
            throw e;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a decision never completes with an exception", e);
        }
    }

    private void runWriter() {
        while (!closed) {
            try {
                commit(collectGroup());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Waits for a claim and collects those that arrive within {@link #GROUP_WINDOW_MS}. */
    private List<PendingClaim> collectGroup() throws InterruptedException {
        groupLock.lockInterruptibly();
        try {
            List<PendingClaim> group = new ArrayList<>();
            PendingClaim next = queue.take();
            long untilMs = clock.nowMs() + GROUP_WINDOW_MS;
            while (next != null) {
                if (!next.decision().isCancelled()) {
                    group.add(next);
                }
                long leftMs = Math.max(0, untilMs - clock.nowMs());
                next = group.size() < MAX_GROUP ? queue.poll(leftMs, TimeUnit.MILLISECONDS) : null;
            }
            return group;
        } finally {
            groupLock.unlock();
        }
    }

    private void commit(List<PendingClaim> group) {
        if (group.isEmpty()) {
            return;
        }
        if (!circuit.tryAcquire(clock.nowMs())) {
            Failure failure = claimNotPossible(
                    "the table service is not available", Math.max(1, circuit.retryAfterMs(clock.nowMs())));
            group.forEach(pending -> complete(pending, ClaimDecision.refused(failure, false)));
            return;
        }
        List<ClaimDecision> decisions = decide(group);
        boolean failed = decisions.stream().anyMatch(GroupedClaims::isStoreFailure);
        if (failed) {
            circuit.recordFailure(clock.nowMs());
        } else {
            circuit.recordSuccess();
        }
        for (int index = 0; index < group.size(); index++) {
            complete(group.get(index), decisions.get(index));
        }
    }

    private List<ClaimDecision> decide(List<PendingClaim> group) {
        try {
            return table.claim(group.stream().map(PendingClaim::claim).toList());
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("event=claim_group_failed size=%d", group.size());
            ClaimDecision refused = ClaimDecision.refused(
                    claimNotPossible("the transaction failed unexpectedly", RETRY_AFTER_MS), true);
            return group.stream().map(pending -> refused).toList();
        }
    }

    private static boolean isStoreFailure(ClaimDecision decision) {
        return decision.result().isLeft() && decision.result().getLeft().code() == ResultCode.CLAIM_NOT_POSSIBLE;
    }

    private void complete(PendingClaim pending, ClaimDecision decision) {
        boolean delivered = pending.decision().complete(decision);
        if (!delivered || decision.mayHoldRow()) {
            release(pending.claim(), decision);
        }
    }

    /** Releases a claim whose caller got a not-run answer, so that its row does not block other requests. */
    @SuppressWarnings("FutureReturnValueIgnored") // recorded in the background
    private void release(ClaimRequest claim, ClaimDecision decision) {
        if (decision.mayLeaveRow()) {
            settler.settle(Settlement.notRun(claim));
        }
    }

    private static Failure claimNotPossible(String reason, long retryAfterMs) {
        return Failure.retryAfter(
                ResultCode.CLAIM_NOT_POSSIBLE, "the call could not be claimed: " + reason, retryAfterMs);
    }
}

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

/** Claims that are committed in groups: those of a few milliseconds share one transaction. */
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
     * Creates claims whose writers are not started.
     *
     * @param service keeps the rows
     * @param clock tells the time
     * @param random spreads what is tried again
     */
    public GroupedClaims(TableService service, Clock clock, RandomGenerator random) {
        this.table = new ClaimTable(service, clock);
        this.settler = new ClaimSettler(table, random);
        this.circuit = new StoreCircuitBreaker(CIRCUIT_BACKOFF, random);
        this.clock = clock;
    }

    /** Starts the writers. */
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
            return Either.left(claimNotPossible("the deadline passed", RETRY_AFTER_MS));
        }
        long refusedForMs = circuit.retryAfterMs(nowMs);
        if (refusedForMs > 0) {
            return Either.left(claimNotPossible("the table service is not available", refusedForMs));
        }
        PendingClaim pending = PendingClaim.of(claim);
        if (!queue.offer(pending)) {
            return Either.left(claimNotPossible("too many claims wait", RETRY_AFTER_MS));
        }
        return awaitDecision(pending, waitMs);
    }

    @Override
    public CompletableFuture<Boolean> settle(Settlement settlement) {
        return settler.settle(settlement);
    }

    /** Records what is left to record, as far as the store answers, and ends the writers. */
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
                return Either.left(claimNotPossible("the table service is slow", RETRY_AFTER_MS));
            }
            return pending.decision().join().result();
        } catch (InterruptedException e) {
            if (!pending.decision().cancel(false)) {
                release(pending.claim(), pending.decision().join());
            }
            throw e;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a verdict is never an exception", e);
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

    /** Waits for a claim and collects those that come within a few milliseconds. */
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
            Failure failure =
                    claimNotPossible("the table service is not available", Math.max(1, circuit.retryAfterMs(clock.nowMs())));
            group.forEach(pending -> complete(pending, ClaimDecision.refused(failure, false)));
            return;
        }
        List<ClaimDecision> verdicts = decide(group);
        boolean failed = verdicts.stream().anyMatch(GroupedClaims::isStoreFailure);
        if (failed) {
            circuit.recordFailure(clock.nowMs());
        } else {
            circuit.recordSuccess();
        }
        for (int index = 0; index < group.size(); index++) {
            complete(group.get(index), verdicts.get(index));
        }
    }

    private List<ClaimDecision> decide(List<PendingClaim> group) {
        try {
            return table.claim(group.stream().map(PendingClaim::claim).toList());
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("event=claim_group_failed size=%d", group.size());
            ClaimDecision refused = ClaimDecision.refused(claimNotPossible("the claim failed", RETRY_AFTER_MS), true);
            return group.stream().map(pending -> refused).toList();
        }
    }

    private static boolean isStoreFailure(ClaimDecision verdict) {
        return verdict.result().isLeft() && verdict.result().getLeft().code() == ResultCode.CLAIM_NOT_POSSIBLE;
    }

    private void complete(PendingClaim pending, ClaimDecision verdict) {
        boolean heard = pending.decision().complete(verdict);
        if (!heard || verdict.mayHoldRow()) {
            release(pending.claim(), verdict);
        }
    }

    /** The request was told that it was not run, so that the row must not keep others off. */
    @SuppressWarnings("FutureReturnValueIgnored") // recorded in the background
    private void release(ClaimRequest claim, ClaimDecision verdict) {
        if (verdict.mayLeaveRow()) {
            settler.settle(Settlement.notRun(claim));
        }
    }

    private static Failure claimNotPossible(String why, long retryAfterMs) {
        return Failure.retryAfter(ResultCode.CLAIM_NOT_POSSIBLE, "the call could not be claimed: " + why, retryAfterMs);
    }
}

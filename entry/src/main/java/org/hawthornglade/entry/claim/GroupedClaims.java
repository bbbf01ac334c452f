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
    private static final int MAX_WAITING = 1_024;
    private static final long GROUP_MS = 2;
    private static final long MAX_CLAIM_MS = 1_500;
    private static final long FULL_RETRY_MS = 1_000;
    private static final Backoff CIRCUIT_BACKOFF = new Backoff(500, 10_000);

    private final LinkedBlockingQueue<PendingClaim> waiting = new LinkedBlockingQueue<>(MAX_WAITING);
    private final ReentrantLock gathering = new ReentrantLock();
    private final List<Thread> writers = new ArrayList<>();
    private final ClaimTable table;
    private final ClaimSettler settler;
    private final StoreCircuit circuit;
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
        this.circuit = new StoreCircuit(CIRCUIT_BACKOFF, random);
        this.clock = clock;
    }

    /** Starts the writers. */
    public void start() {
        settler.start();
        for (int number = 1; number <= WRITERS; number++) {
            Thread writer = new Thread(this::write, "claims-" + number);
            writer.setDaemon(true);
            writer.start();
            writers.add(writer);
        }
    }

    @Override
    public Either<Failure, ClaimResult> claim(ClaimTry claim) throws InterruptedException {
        long nowMs = clock.nowMs();
        long waitMs = Math.min(MAX_CLAIM_MS, claim.deadlineAtMs() - nowMs);
        if (waitMs <= 0) {
            return Either.left(notPossible("the deadline passed", FULL_RETRY_MS));
        }
        long refusedForMs = circuit.refusedForMs(nowMs);
        if (refusedForMs > 0) {
            return Either.left(notPossible("the table service is not available", refusedForMs));
        }
        PendingClaim pending = PendingClaim.of(claim);
        if (!waiting.offer(pending)) {
            return Either.left(notPossible("too many claims wait", FULL_RETRY_MS));
        }
        return await(pending, waitMs);
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

    private Either<Failure, ClaimResult> await(PendingClaim pending, long waitMs) throws InterruptedException {
        try {
            return pending.verdict().get(waitMs, TimeUnit.MILLISECONDS).result();
        } catch (TimeoutException e) {
            if (pending.verdict().cancel(false)) {
                return Either.left(notPossible("the table service is slow", FULL_RETRY_MS));
            }
            return pending.verdict().join().result();
        } catch (InterruptedException e) {
            if (!pending.verdict().cancel(false)) {
                giveBack(pending.claim(), pending.verdict().join());
            }
            throw e;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a verdict is never an exception", e);
        }
    }

    private void write() {
        while (!closed) {
            try {
                commit(gather());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Waits for a claim and collects those that come within a few milliseconds. */
    private List<PendingClaim> gather() throws InterruptedException {
        gathering.lockInterruptibly();
        try {
            List<PendingClaim> group = new ArrayList<>();
            PendingClaim next = waiting.take();
            long untilMs = clock.nowMs() + GROUP_MS;
            while (next != null) {
                if (!next.verdict().isCancelled()) {
                    group.add(next);
                }
                long leftMs = Math.max(0, untilMs - clock.nowMs());
                next = group.size() < MAX_GROUP ? waiting.poll(leftMs, TimeUnit.MILLISECONDS) : null;
            }
            return group;
        } finally {
            gathering.unlock();
        }
    }

    private void commit(List<PendingClaim> group) {
        if (group.isEmpty()) {
            return;
        }
        if (!circuit.tryEnter(clock.nowMs())) {
            Failure failure =
                    notPossible("the table service is not available", Math.max(1, circuit.refusedForMs(clock.nowMs())));
            group.forEach(pending -> complete(pending, ClaimVerdict.refused(failure, false)));
            return;
        }
        List<ClaimVerdict> verdicts = verdicts(group);
        boolean failed = verdicts.stream().anyMatch(GroupedClaims::isStoreFailure);
        if (failed) {
            circuit.failed(clock.nowMs());
        } else {
            circuit.succeeded();
        }
        for (int index = 0; index < group.size(); index++) {
            complete(group.get(index), verdicts.get(index));
        }
    }

    private List<ClaimVerdict> verdicts(List<PendingClaim> group) {
        try {
            return table.claim(group.stream().map(PendingClaim::claim).toList());
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("event=claim_group_failed size=%d", group.size());
            ClaimVerdict refused = ClaimVerdict.refused(notPossible("the claim failed", FULL_RETRY_MS), true);
            return group.stream().map(pending -> refused).toList();
        }
    }

    private static boolean isStoreFailure(ClaimVerdict verdict) {
        return verdict.result().isLeft() && verdict.result().getLeft().code() == ResultCode.CLAIM_NOT_POSSIBLE;
    }

    private void complete(PendingClaim pending, ClaimVerdict verdict) {
        boolean heard = pending.verdict().complete(verdict);
        if (!heard || verdict.mayBeHeld()) {
            giveBack(pending.claim(), verdict);
        }
    }

    /** The request was told that it was not run, so that the row must not keep others off. */
    @SuppressWarnings("FutureReturnValueIgnored") // recorded in the background
    private void giveBack(ClaimTry claim, ClaimVerdict verdict) {
        if (verdict.leavesRow()) {
            settler.settle(Settlement.notRun(claim));
        }
    }

    private static Failure notPossible(String why, long retryAfterMs) {
        return Failure.retryAfter(ResultCode.CLAIM_NOT_POSSIBLE, "the call could not be claimed: " + why, retryAfterMs);
    }
}

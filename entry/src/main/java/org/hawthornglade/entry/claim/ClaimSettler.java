package org.hawthornglade.entry.claim;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.retry.Backoff;

/** Records the outcomes of claimed calls in the background, retrying until the table service accepts them. */
final class ClaimSettler implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_GROUP = 32;
    private static final int MAX_QUEUED = 10_000;
    private static final long STOP_TIMEOUT_MS = 3_000;
    private static final Backoff BACKOFF = new Backoff(200, 10_000);

    private record QueuedSettlement(Settlement settlement, CompletableFuture<Boolean> recorded) {}

    private final LinkedBlockingDeque<QueuedSettlement> queue = new LinkedBlockingDeque<>(MAX_QUEUED);
    private final ClaimTable table;
    private final RandomGenerator random;
    private final Thread thread = new Thread(this::run, "claim-settler");
    private final CountDownLatch stopping = new CountDownLatch(1);

    ClaimSettler(ClaimTable table, RandomGenerator random) {
        this.table = table;
        this.random = random;
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Queues a settlement; if the queue is full the settlement is dropped, and its claim stays taken. */
    CompletableFuture<Boolean> settle(Settlement settlement) {
        QueuedSettlement pending = new QueuedSettlement(settlement, new CompletableFuture<>());
        if (!queue.offer(pending)) {
            LOG.atWarning().log("event=settlement_left_out request=%s", settlement.request());
            pending.recorded().complete(false);
        }
        return pending.recorded();
    }

    /** Stops the thread after a last try to record the queued settlements. */
    @Override
    public void close() {
        stopping.countDown();
        thread.interrupt();
        try {
            thread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        int failures = 0;
        while (stopping.getCount() > 0) {
            try {
                List<QueuedSettlement> group = collectGroup(queue.take());
                boolean recorded = record(group);
                failures = recorded ? 0 : failures + 1;
                if (!recorded) {
                    requeue(group);
                    boolean stopped = stopping.await(BACKOFF.delayMs(failures, random), TimeUnit.MILLISECONDS);
                    if (stopped) {
                        break;
                    }
                }
            } catch (InterruptedException e) {
                break;
            }
        }
        QueuedSettlement next = queue.poll();
        while (next != null && record(collectGroup(next))) {
            next = queue.poll();
        }
    }

    /** Collects queued settlements for one transaction, at most one per row. */
    private List<QueuedSettlement> collectGroup(QueuedSettlement first) {
        List<QueuedSettlement> group = new ArrayList<>(List.of(first));
        Set<String> rows = new HashSet<>(Set.of(first.settlement().key().rowKey()));
        while (group.size() < MAX_GROUP) {
            QueuedSettlement next = queue.poll();
            if (next == null) {
                break;
            }
            if (!rows.add(next.settlement().key().rowKey())) {
                queue.offerFirst(next);
                break;
            }
            group.add(next);
        }
        return group;
    }

    private boolean record(List<QueuedSettlement> group) {
        Either<Failure, Boolean> recorded;
        try {
            recorded = table.settle(
                    group.stream().map(QueuedSettlement::settlement).toList());
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("event=settlement_failed size=%d", group.size());
            return false;
        }
        if (recorded.isRight()) {
            group.forEach(pending -> pending.recorded().complete(true));
        }
        return recorded.isRight();
    }

    private void requeue(List<QueuedSettlement> group) {
        for (int index = group.size() - 1; index >= 0; index--) {
            if (!queue.offerFirst(group.get(index))) {
                group.get(index).recorded().complete(false);
            }
        }
    }
}

package org.hawthornglade.entry.control;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.protocol.gen.CancelOutcome;

/** Cancels attempts at one agent, one at a time on a dedicated thread that exists only while there is work. */
final class AttemptCanceller implements AutoCloseable {
    private static final int MAX_QUEUED = 4_096;
    private static final long THREAD_IDLE_MS = 2_000;
    private static final long RETRY_AFTER_MS = 500;

    private final CommandChannel channel;
    private final ThreadPoolExecutor executor;

    AttemptCanceller(String name, CommandChannel channel) {
        this.channel = channel;
        this.executor = new ThreadPoolExecutor(
                1, 1, THREAD_IDLE_MS, TimeUnit.MILLISECONDS, new LinkedBlockingQueue<>(MAX_QUEUED), task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
        this.executor.allowCoreThreadTimeOut(true);
    }

    /** Cancels an attempt; left if the agent does not confirm within {@code waitMs} milliseconds. */
    Either<Failure, CancelOutcome> cancel(AttemptId attempt, long waitMs) {
        try {
            return submit(attempt).get(waitMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(noResponse());
        } catch (TimeoutException | ExecutionException | RejectedExecutionException e) {
            return Either.left(noResponse());
        }
    }

    /** Cancels an attempt without waiting; dropped if the queue is full, since the deadline ends the attempt anyway. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the agent's confirmation
    void abandon(AttemptId attempt) {
        try {
            submit(attempt);
        } catch (RejectedExecutionException e) {
            return;
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
        channel.close();
    }

    private CompletableFuture<Either<Failure, CancelOutcome>> submit(AttemptId attempt) {
        return CompletableFuture.supplyAsync(
                () -> channel.call(client -> client.cancel(attempt.value()).getOutcome()), executor);
    }

    private static Failure noResponse() {
        return Failure.retryAfter(
                ResultCode.NO_ENDPOINT, "the agent did not confirm the cancel in time", RETRY_AFTER_MS);
    }
}

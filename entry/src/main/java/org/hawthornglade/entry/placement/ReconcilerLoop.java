package org.hawthornglade.entry.placement;

import com.google.common.flogger.FluentLogger;
import io.dropwizard.lifecycle.Managed;
import io.vavr.control.Either;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongUnaryOperator;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * Runs the reconciler every few seconds and shortly after a new configuration.
 *
 * <p>Delays are jittered, so that entries do not run at the same time, and grow while the table service fails.
 */
public final class ReconcilerLoop implements Managed {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long INTERVAL_MS = 3_000;
    private static final long CHANGE_DELAY_MS = 300;
    private static final long MAX_INTERVAL_MS = 30_000;

    private final Reconciler reconciler;
    private final LongUnaryOperator jitter;
    private final ScheduledExecutorService executor;
    private final AtomicBoolean passScheduled = new AtomicBoolean();
    private long waitMs = INTERVAL_MS;

    /**
     * Creates a loop that is not started.
     *
     * @param jitter turns a delay in milliseconds into a random delay around it
     */
    public ReconcilerLoop(Reconciler reconciler, LongUnaryOperator jitter) {
        this.reconciler = reconciler;
        this.jitter = jitter;
        ScheduledThreadPoolExecutor pool = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "reconciler");
            thread.setDaemon(true);
            return thread;
        });
        pool.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        this.executor = pool;
    }

    @Override
    public void start() {
        schedule(CHANGE_DELAY_MS, this::runAndRepeat);
    }

    /** Schedules an extra pass shortly, as after a new configuration. */
    public void schedulePass() {
        if (passScheduled.compareAndSet(false, true)) {
            schedule(CHANGE_DELAY_MS, this::runOnce);
        }
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }

    private void runOnce() {
        passScheduled.set(false);
        runPass();
    }

    private void runAndRepeat() {
        waitMs = nextWaitMs(runPass(), waitMs);
        schedule(waitMs, this::runAndRepeat);
    }

    private Either<Failure, Integer> runPass() {
        try {
            return reconciler.run().peekLeft(ReconcilerLoop::logFailure);
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("event=reconciler_failed");
            return Either.left(Failure.of(ResultCode.INTERNAL_ERROR, "the reconciler pass failed: " + e));
        }
    }

    /** Returns the next delay: doubled while the table service fails; losing to another entry is no failure. */
    static long nextWaitMs(Either<Failure, Integer> outcome, long lastMs) {
        boolean failed = outcome.isLeft() && outcome.getLeft().code() != ResultCode.STALE_PLAN;
        return failed ? Math.min(MAX_INTERVAL_MS, lastMs * 2) : INTERVAL_MS;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // runPass() logs failures
    private void schedule(long delayMs, Runnable task) {
        executor.schedule(task, jitter.applyAsLong(delayMs), TimeUnit.MILLISECONDS);
    }

    private static void logFailure(Failure failure) {
        LOG.atWarning().log(
                "event=reconciler_pass_failed code=%d detail=\"%s\"",
                failure.code().number(), failure.message());
    }
}

package org.hawthornglade.standin.time;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.time.Clock;

/** Runs actions by the system clock on two daemon threads. */
public final class SystemTimers implements Timers {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int THREADS = 2;

    private final Clock clock = Clock.system();
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(THREADS, action -> {
        Thread thread = new Thread(action, "standin-timer");
        thread.setDaemon(true);
        return thread;
    });

    /** Creates timers; the threads start with the first scheduled action. */
    public SystemTimers() {
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public void after(long delayMs, Runnable action) {
        if (executor.isShutdown()) {
            return;
        }
        ScheduledFuture<?> unused = executor.schedule(() -> run(action), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    }

    private static void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log("event=timer_action_failed");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}

package org.hawthornglade.node.loop;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks again and again, or once, each kind on a thread of its own. */
public final class PeriodicTasks implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ScheduledExecutorService executor;

    /** Creates tasks that share one thread. */
    public PeriodicTasks(String threadName) {
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, threadName);
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Runs a task now and, after each end, again.
     *
     * @param waitMs how long to wait between an end and the next start, in milliseconds
     */
    @SuppressWarnings("FutureReturnValueIgnored") // guarded() logs what a task throws
    public void runRepeatedly(long waitMs, Runnable task) {
        executor.scheduleWithFixedDelay(guarded(task), 0, waitMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task once, after those that wait. */
    public void runOnce(Runnable task) {
        executor.execute(guarded(task));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                // A task that throws would never be run again.
                LOG.atSevere().withCause(e).log("event=task_failed");
            }
        };
    }
}

package org.hawthornglade.node.loop;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks periodically or once, on a dedicated thread. */
public final class PeriodicTasks implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ScheduledExecutorService executor;

    /** Creates the thread that all tasks of this object share. */
    public PeriodicTasks(String threadName) {
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, threadName);
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Runs a task now and again after each time it has ended.
     *
     * @param waitMs the pause between the end of a run and the start of the next, in milliseconds
     */
    @SuppressWarnings("FutureReturnValueIgnored") // logFailures() logs what a task throws
    public void runRepeatedly(long waitMs, Runnable task) {
        executor.scheduleWithFixedDelay(logFailures(task), 0, waitMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task once, after the tasks that are already waiting. */
    public void runOnce(Runnable task) {
        executor.execute(logFailures(task));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                // The executor would not run a task again after it has thrown.
                LOG.atSevere().withCause(e).log("event=task_failed");
            }
        };
    }
}

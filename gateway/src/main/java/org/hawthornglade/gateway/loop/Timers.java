package org.hawthornglade.gateway.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.gateway.log.EventLog;

/** Schedules actions on the event loop; an exception in an action is logged and has no other effect. */
public final class Timers {
    private final EventLoop loop;
    private final EventLog log;

    /** Creates timers for an event loop. */
    public Timers(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Runs an action as soon as possible. */
    public void run(Runnable action) {
        loop.execute(() -> runAndLogFailure(action));
    }

    /** Runs an action at once; must be called on the event loop. */
    public void runNow(Runnable action) {
        runAndLogFailure(action);
    }

    /** Runs an action once after a delay. */
    public Timeout after(long delayMs, Runnable action) {
        Future<?> scheduled =
                loop.schedule(() -> runAndLogFailure(action), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
        return new Timeout(scheduled);
    }

    /** Runs an action periodically until the process ends, first after one period. */
    public void every(long periodMs, Runnable action) {
        after(periodMs, () -> {
            runAndLogFailure(action);
            every(periodMs, action);
        });
    }

    private void runAndLogFailure(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            StringWriter trace = new StringWriter();
            e.printStackTrace(new PrintWriter(trace));
            log.event("internal-error").with("trace", trace).write();
        }
    }

    /** A scheduled action that can be cancelled. */
    public static final class Timeout {
        private final Future<?> scheduled;

        private Timeout(Future<?> scheduled) {
            this.scheduled = scheduled;
        }

        /** Cancels the action, if it has not started. */
        public void cancel() {
            scheduled.cancel(false);
        }
    }
}

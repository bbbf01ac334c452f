package org.hawthornglade.gateway.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.gateway.log.EventLog;

/** Runs actions on the event loop, now or later; an action that throws is logged and changes nothing else. */
public final class Timers {
    private final EventLoop loop;
    private final EventLog log;

    /** Creates timers on an event loop. */
    public Timers(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Runs an action as soon as the event loop has time. */
    public void run(Runnable action) {
        loop.execute(() -> runAndLogFailure(action));
    }

    /** Runs an action once after a delay. */
    public Timeout after(long delayMs, Runnable action) {
        Future<?> scheduled = loop.schedule(() -> runAndLogFailure(action), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
        return new Timeout(scheduled);
    }

    /** Runs an action again and again until the process ends. */
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

    /** An action that has not run yet. */
    public static final class Timeout {
        private final Future<?> scheduled;

        private Timeout(Future<?> scheduled) {
            this.scheduled = scheduled;
        }

        /** Prevents the action from running, if it has not begun. */
        public void cancel() {
            scheduled.cancel(false);
        }
    }
}

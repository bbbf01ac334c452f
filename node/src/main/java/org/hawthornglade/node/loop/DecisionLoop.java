package org.hawthornglade.node.loop;

import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;
import org.hawthornglade.core.Decider;
import org.hawthornglade.core.time.Clock;

/**
 * Passes events one by one to a decider on a dedicated thread and hands its commands to a handler.
 *
 * @param <E> the decider's events
 * @param <C> the decider's commands
 */
public final class DecisionLoop<E, C> implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long STOP_TIMEOUT_MS = 5_000;

    private final EventQueue<E> events;
    private final Decider<E, C> decider;
    private final Clock clock;
    private final Consumer<C> commandHandler;
    private final E tick;
    private final long tickMs;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Creates a loop that is not started.
     *
     * @param name the thread's name
     * @param events where the events come from
     * @param decider handles the events
     * @param clock gives the decider the time
     * @param commandHandler carries a command out; must not block
     * @param tick the event that signals that time has passed
     * @param tickMs the interval between ticks, in milliseconds
     */
    public DecisionLoop(
            String name,
            EventQueue<E> events,
            Decider<E, C> decider,
            Clock clock,
            Consumer<C> commandHandler,
            E tick,
            long tickMs) {
        this.events = events;
        this.decider = decider;
        this.clock = clock;
        this.commandHandler = commandHandler;
        this.tick = tick;
        this.tickMs = tickMs;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** Starts the thread; must be called only once. */
    public void start() {
        thread.start();
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long nextTickMs = clock.nowMs() + tickMs;
        while (!closed) {
            E event;
            try {
                event = events.poll(Math.max(0, nextTickMs - clock.nowMs()));
            } catch (InterruptedException e) {
                return;
            }
            if (event != null) {
                handle(event);
            }
            if (clock.nowMs() >= nextTickMs) {
                handle(tick);
                nextTickMs = clock.nowMs() + tickMs;
            }
        }
    }

    private void handle(E event) {
        try {
            for (C command : decider.on(event, clock.nowMs())) {
                commandHandler.accept(command);
            }
        } catch (RuntimeException e) {
            // An event that fails must not stop all further decisions of the process.
            LOG.atSevere().withCause(e).log(
                    "event=decision_failed on=%s", event.getClass().getSimpleName());
        }
    }
}

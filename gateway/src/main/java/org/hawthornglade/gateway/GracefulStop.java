package org.hawthornglade.gateway;

import java.util.function.LongConsumer;
import org.hawthornglade.core.time.Clock;

/**
 * The steps of a stop that cuts no open call.
 *
 * <p>At once the entry leaves the balancer's rotation. While that takes effect it serves what comes. Then it refuses
 * what comes or waits, since the end of the process could cut it, and ends with its last open call.
 */
final class GracefulStop {
    /** How long the balancer may still send new connections. */
    private static final long BALANCER_REACTION_MS = 2_500;
    /** Time kept for closing after the last call. */
    private static final long EXIT_RESERVE_MS = 700;
    /** How long what was accepted last has to be read and refused, after listening has ended. */
    private static final long ACCEPTED_REQUEST_MS = 250;
    /** How often it is looked whether the stop is done. */
    private static final long CHECK_INTERVAL_MS = 20;

    /** What a stop does to an entry; called on the stopping thread. */
    interface Steps {
        /** Leaves the rotation and gives up what others can take over. */
        void begin();

        /** Refuses what comes or waits from now on. */
        void startRefusing();

        /** Stops to listen. */
        void close();

        /** Returns how many calls are open. */
        int openCalls();
    }

    private final Clock clock;
    private final LongConsumer pauseMs;
    private final long graceMs;
    private final Steps steps;

    /**
     * Creates a stop that has not begun.
     *
     * @param pauseMs lets the stopping thread wait for so many milliseconds
     * @param graceMs how long it may take
     */
    GracefulStop(Clock clock, LongConsumer pauseMs, long graceMs, Steps steps) {
        this.pauseMs = pauseMs;
        this.clock = clock;
        this.graceMs = graceMs;
        this.steps = steps;
    }

    /** Goes through the steps and returns when the process may end; returns how long it took, in milliseconds. */
    long run() {
        long startMs = clock.nowMs();
        steps.begin();
        waitUntil(startMs + Math.min(BALANCER_REACTION_MS, graceMs - EXIT_RESERVE_MS));
        steps.startRefusing();
        long latestMs = startMs + graceMs - EXIT_RESERVE_MS;
        waitForCalls(latestMs);
        steps.close();
        waitUntil(clock.nowMs() + ACCEPTED_REQUEST_MS);
        waitForCalls(latestMs + ACCEPTED_REQUEST_MS);
        return clock.nowMs() - startMs;
    }

    private void waitForCalls(long latestMs) {
        while (clock.nowMs() < latestMs && steps.openCalls() > 0) {
            pauseMs.accept(CHECK_INTERVAL_MS);
        }
    }

    private void waitUntil(long untilMs) {
        while (clock.nowMs() < untilMs) {
            pauseMs.accept(CHECK_INTERVAL_MS);
        }
    }
}

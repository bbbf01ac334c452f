package org.hawthornglade.gateway;

import java.util.function.LongConsumer;
import org.hawthornglade.core.time.Clock;

/**
 * Stops an entry step by step, without interrupting open calls.
 *
 * <p>First the entry leaves the load balancer's rotation, and serves all calls until that has taken effect. Then it
 * refuses new and waiting calls, which the end of the process could interrupt, and stops after its last open call.
 * Calls that are still open when the time is over get an error instead of a closed connection.
 */
final class GracefulStop {
    /** Time for which the load balancer may still send new connections. */
    private static final long BALANCER_REACTION_MS = 2_500;
    /** Time reserved for closing after the last call. */
    private static final long EXIT_RESERVE_MS = 700;
    /** Time to read and refuse the requests on the connections that were accepted last, after listening has ended. */
    private static final long ACCEPTED_REQUEST_MS = 250;
    /** Interval at which the progress of the stop is checked. */
    private static final long CHECK_INTERVAL_MS = 20;

    /** The steps of a stop; called on the stopping thread. */
    interface Steps {
        /** Leaves the rotation and releases the roles that other entries can take over. */
        void begin();

        /** Refuses new and waiting calls from now on. */
        void startRefusing();

        /** Ends the open calls with an error, because the process ends before their responses. */
        void failOpenCalls();

        /** Stops listening. */
        void close();

        /** Returns the number of open calls. */
        int openCalls();
    }

    private final Clock clock;
    private final LongConsumer pauseMs;
    private final long graceMs;
    private final Steps steps;

    /**
     * Creates a stop that has not started.
     *
     * @param pauseMs makes the stopping thread wait for the given number of milliseconds
     * @param graceMs the maximum duration of the stop
     */
    GracefulStop(Clock clock, LongConsumer pauseMs, long graceMs, Steps steps) {
        this.pauseMs = pauseMs;
        this.clock = clock;
        this.graceMs = graceMs;
        this.steps = steps;
    }

    /** Runs the steps until the process may end; returns the duration in milliseconds. */
    long run() {
        long startMs = clock.nowMs();
        steps.begin();
        waitUntil(startMs + Math.min(BALANCER_REACTION_MS, graceMs - EXIT_RESERVE_MS));
        steps.startRefusing();
        long latestMs = startMs + graceMs - EXIT_RESERVE_MS;
        waitForCalls(latestMs);
        if (steps.openCalls() > 0) {
            steps.failOpenCalls();
        }
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

package org.hawthornglade.core.stop;

import java.util.List;

/**
 * Decides which step of a planned stop is due.
 *
 * <p>First the entry leaves the load balancer's rotation, and serves all calls until that has taken effect. Then it
 * refuses new and waiting calls, which the end of the process could cut off, and ends when nothing is open any more.
 * What is still open when the time is over is failed: it gets an error instead of a closed connection.
 *
 * <p>A decision holds for the moment of the look at the open work: its steps are carried out before more is read.
 */
public final class StopSequence {
    /** Time for which the load balancer may still send new connections. */
    private static final long BALANCER_REACTION_MS = 2_500;
    /** Time reserved for closing after the last call. */
    private static final long EXIT_RESERVE_MS = 700;
    /** Time to read and refuse the requests on the connections that were accepted last, after listening has ended. */
    private static final long ACCEPTED_REQUEST_MS = 250;

    private enum Phase {
        NOT_STARTED,
        SERVING,
        REFUSING,
        CLOSED,
        ENDED
    }

    private final long refuseAtMs;
    private final long failAtMs;
    private long closedAtMs;
    private boolean failed;
    private Phase phase = Phase.NOT_STARTED;

    /**
     * Creates a stop.
     *
     * @param startMs when it was requested
     * @param graceMs its maximum duration from then
     */
    public StopSequence(long startMs, long graceMs) {
        failAtMs = startMs + Math.max(0, graceMs - EXIT_RESERVE_MS);
        refuseAtMs = Math.min(startMs + BALANCER_REACTION_MS, failAtMs);
    }

    /** Returns the steps that are due, in their order. */
    public List<StopStep> next(long nowMs, OpenWork open) {
        return switch (phase) {
            case NOT_STARTED -> enter(Phase.SERVING, StopStep.LEAVE_ROTATION);
            case SERVING -> nowMs < refuseAtMs ? List.of() : enter(Phase.REFUSING, StopStep.REFUSE);
            case REFUSING -> close(nowMs, open);
            case CLOSED -> end(nowMs, open);
            case ENDED -> List.of();
        };
    }

    private List<StopStep> close(long nowMs, OpenWork open) {
        if (!open.isEmpty() && nowMs < failAtMs) {
            return List.of();
        }
        closedAtMs = nowMs;
        failed = !open.isEmpty();
        return failed ? enter(Phase.CLOSED, StopStep.FAIL, StopStep.CLOSE) : enter(Phase.CLOSED, StopStep.CLOSE);
    }

    private List<StopStep> end(long nowMs, OpenWork open) {
        if (!open.isEmpty() && nowMs >= failAtMs && !failed) {
            failed = true;
            return List.of(StopStep.FAIL);
        }
        boolean accepted = nowMs >= closedAtMs + ACCEPTED_REQUEST_MS;
        boolean overdue = nowMs >= failAtMs + ACCEPTED_REQUEST_MS;
        boolean due = accepted && (open.isEmpty() || overdue);
        return due ? enter(Phase.ENDED, StopStep.END) : List.of();
    }

    private List<StopStep> enter(Phase next, StopStep... steps) {
        phase = next;
        return List.of(steps);
    }

    /** Returns whether the process may end. */
    public boolean ended() {
        return phase == Phase.ENDED;
    }
}

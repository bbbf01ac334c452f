package org.hawthornglade.bench.emulator;

/**
 * Holds the results of one run.
 *
 * @param limitBreaks requests that exceeded the limit of an endpoint
 * @param drainBreaks requests that reached an endpoint that had announced that it was leaving
 * @param budgetBreaks requests beyond two per entry that reached an endpoint during its retry-after pause
 * @param limitUse the requests that limited endpoints received while there were calls for them, as a share of their
 *     limits
 * @param calls the number of calls
 * @param served the number answered within the latency target
 * @param late the number answered later
 * @param refused the number refused
 * @param messagesPerSecond messages between entries per second
 */
public record EmulatorResult(
        int limitBreaks,
        int drainBreaks,
        int budgetBreaks,
        double limitUse,
        int calls,
        int served,
        int late,
        int refused,
        double messagesPerSecond) {
    /** Returns whether no rule was violated. */
    public boolean clean() {
        return limitBreaks + drainBreaks + budgetBreaks == 0;
    }
}

package org.hawthornglade.bench.emulator;

/**
 * What one run showed.
 *
 * @param limitBreaks requests that made an endpoint get more than its limit allows
 * @param drainBreaks requests that reached an endpoint that had said that it leaves
 * @param budgetBreaks requests beyond two that reached an endpoint in the time for which it wanted nothing
 * @param limitUse what limited endpoints got while calls for them came, as a share of their limits
 * @param calls how many calls came
 * @param served how many were answered in time
 * @param late how many were answered later
 * @param refused how many were told that they are not served
 * @param messagesPerSecond what entries told each other
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
    /** Returns whether every rule was kept. */
    public boolean clean() {
        return limitBreaks + drainBreaks + budgetBreaks == 0;
    }
}

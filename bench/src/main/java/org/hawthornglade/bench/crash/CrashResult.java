package org.hawthornglade.bench.crash;

/**
 * The figures of one run.
 *
 * @param crashes the crashes caused by deadly calls
 * @param lateArrivals the deadly calls that reached engines later than the allowed time after the crash with which the
 *     time to react began
 * @param quarantineDelayMs the time from that crash until no entry sent deadly calls any more, in milliseconds; 0 if
 *     there were fewer crashes
 * @param servedBefore the share of sound calls that were served before deadly ones came, from 0 to 1
 * @param servedAfter the same share later than twice the allowed time after that crash or the last one
 * @param soundRefusals the sound calls that were refused by the quarantine
 * @param messagesPerSecond the messages between entries
 */
public record CrashResult(
        int crashes,
        int lateArrivals,
        long quarantineDelayMs,
        double servedBefore,
        double servedAfter,
        int soundRefusals,
        double messagesPerSecond) {
    /** The number of deadly calls that may arrive after the allowed time. */
    public static final int MAX_LATE_ARRIVALS = 3;

    /** Returns whether no more requests arrived than allowed, and sound calls were served half as often as before. */
    public boolean clean() {
        return lateArrivals <= MAX_LATE_ARRIVALS && servedAfter >= servedBefore / 2 && soundRefusals == 0;
    }
}

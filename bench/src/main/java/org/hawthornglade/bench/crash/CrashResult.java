package org.hawthornglade.bench.crash;

/**
 * The figures of one run.
 *
 * @param crashes the crashes caused by the deadly part
 * @param lateArrivals the requests with the deadly part that reached engines later than the allowed time after the
 *     fifth crash
 * @param quarantineDelayMs the time from the fifth crash until no entry sent the part any more, in milliseconds; 0 if
 *     there were fewer crashes
 * @param servedBefore the share of sound calls that were served before the deadly part came, from 0 to 1
 * @param servedAfter the same share later than twice the allowed time after the fifth or the last crash
 * @param soundRefusals the sound calls that were refused because of a part in their prompts
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
    /** The number of requests with the deadly part that may arrive after the allowed time. */
    public static final int MAX_LATE_ARRIVALS = 3;

    /** Returns whether no more requests arrived than allowed, and sound calls were served half as often as before. */
    public boolean clean() {
        return lateArrivals <= MAX_LATE_ARRIVALS && servedAfter >= servedBefore / 2 && soundRefusals == 0;
    }
}

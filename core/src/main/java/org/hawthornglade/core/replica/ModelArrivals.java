package org.hawthornglade.core.replica;

/**
 * The recent arrivals of calls for a model.
 *
 * @param callsPerSecond their rate, in which an old call counts less than a new one
 * @param minLatencyTargetMs the shortest latency target among the newest calls, in milliseconds
 * @param promptTokensPerSecond the prompt tokens a second that engines have to process for them, without shared
 *     prefixes
 */
public record ModelArrivals(double callsPerSecond, long minLatencyTargetMs, double promptTokensPerSecond) {
    /** Adds up the arrivals of two entries. */
    ModelArrivals plus(ModelArrivals other) {
        return new ModelArrivals(
                callsPerSecond + other.callsPerSecond,
                Math.min(minLatencyTargetMs, other.minLatencyTargetMs),
                promptTokensPerSecond + other.promptTokensPerSecond);
    }
}

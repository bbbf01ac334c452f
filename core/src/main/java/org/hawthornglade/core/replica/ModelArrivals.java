package org.hawthornglade.core.replica;

/**
 * The calls that have lately asked for a model.
 *
 * @param callsPerSecond their rate; an old call counts less than a new one
 * @param minLatencyTargetMs the shortest latency target among the newest of them
 * @param promptTokensPerSecond the tokens that engines have to read for them, parts shared with others left out
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

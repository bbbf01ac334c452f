package org.hawthornglade.core.replica;

/**
 * The calls that have asked an entry for a model.
 *
 * @param calls their number since the entry's start
 * @param tightestTargetMs the shortest latency target among the newest of them
 */
public record ModelArrivals(long calls, long tightestTargetMs) {}

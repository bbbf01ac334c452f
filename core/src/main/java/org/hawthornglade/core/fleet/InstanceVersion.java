package org.hawthornglade.core.fleet;

/**
 * How many orders one start of an instance has accepted.
 *
 * @param bornMs the wall time of the instance's start
 * @param orderSequence the orders that it has accepted since
 */
public record InstanceVersion(long bornMs, long orderSequence) {}

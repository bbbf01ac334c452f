package org.hawthornglade.core.fleet;

/**
 * The number of orders that one run of an instance has accepted.
 *
 * @param bornMs the wall-clock time of the instance's start, which identifies the run
 * @param orderSequence the number of orders accepted since then
 */
public record InstanceVersion(long bornMs, long orderSequence) {}

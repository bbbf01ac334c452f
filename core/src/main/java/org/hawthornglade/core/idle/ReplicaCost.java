package org.hawthornglade.core.idle;

/**
 * What keeping and losing one loaded model costs.
 *
 * @param accelerators how many accelerators it takes
 * @param reloadMs how long loading it again takes, in milliseconds
 */
public record ReplicaCost(int accelerators, long reloadMs) {}

package org.hawthornglade.core.idle;

/**
 * The cost of keeping a model loaded and of reloading it.
 *
 * @param accelerators how many accelerators the model takes
 * @param reloadMs how long reloading it takes, in milliseconds
 */
public record ReplicaCost(int accelerators, long reloadMs) {}

package org.hawthornglade.core.replica;

/**
 * How a load from the weight store has fared beside others.
 *
 * @param slowdown how many times its nominal time it took, or has taken so far
 * @param leastAtOnce how many loads surely shared the store with it, itself included
 * @param mostAtOnce how many loads may have shared the store with it, itself included
 */
record LoadSample(double slowdown, int leastAtOnce, int mostAtOnce) {}

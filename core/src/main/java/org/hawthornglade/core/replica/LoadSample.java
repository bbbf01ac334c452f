package org.hawthornglade.core.replica;

/**
 * How a load from the weight store has fared beside others. Each number counts the load itself.
 *
 * @param slowdown how many times its nominal time it took, or has taken so far
 * @param earlierConcurrent how many loads surely shared the store with it and had begun before it
 * @param minConcurrent how many loads surely shared the store with it
 * @param maxConcurrent how many loads may have shared the store with it
 */
record LoadSample(double slowdown, int earlierConcurrent, int minConcurrent, int maxConcurrent) {}

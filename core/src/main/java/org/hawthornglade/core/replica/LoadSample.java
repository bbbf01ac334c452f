package org.hawthornglade.core.replica;

/**
 * A measurement of how far concurrent loads slowed down one load from the weight store. Each count includes the load.
 *
 * @param slowdown the duration of the load so far, as a multiple of its nominal time
 * @param earlierConcurrent how many loads certainly shared the store with it and had started before it
 * @param minConcurrent how many loads certainly shared the store with it
 * @param maxConcurrent how many loads may have shared the store with it
 */
record LoadSample(double slowdown, int earlierConcurrent, int minConcurrent, int maxConcurrent) {}

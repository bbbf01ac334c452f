package org.hawthornglade.bench.experiment;

/**
 * The measurements of one run, over the time after learning.
 *
 * @param policy the set of policies
 * @param deployment the deployment
 * @param seed the trace's seed
 * @param fault the fault
 * @param requests the number of requests that arrived
 * @param coldStarts how often a model that was not loaded was requested
 * @param coldP50Ms the median wait of the first request until a replica was ready, in milliseconds
 * @param coldP99Ms its 99th percentile, in milliseconds
 * @param coldMaxMs its maximum, in milliseconds
 * @param coldSumMs its sum, in milliseconds
 * @param onTimeShare the class-weighted share of requests answered completely and on time
 * @param idleAcceleratorHours accelerator hours held without a running request
 * @param refused the number of refused requests
 * @param late the number of requests answered late
 * @param unusedLoads the number of loads, except pre-warming, that were unloaded without having served a request
 * @param evictions the number of models unloaded to make room for others
 * @param prefixHitShare the share of requests that found their prompt prefix cached
 * @param onTimeDuring the class-weighted share on time of the requests that arrived during the fault
 * @param onTimeAfter the same for requests that arrived from 30 s after the fault until 30 minutes later
 * @param goodputPerSecond the class weight answered on time per second of the fault
 */
record RunResult(
        String policy,
        String deployment,
        long seed,
        Fault fault,
        int requests,
        int coldStarts,
        double coldP50Ms,
        double coldP99Ms,
        double coldMaxMs,
        double coldSumMs,
        double onTimeShare,
        double idleAcceleratorHours,
        int refused,
        int late,
        int unusedLoads,
        int evictions,
        double prefixHitShare,
        double onTimeDuring,
        double onTimeAfter,
        double goodputPerSecond) {
    /** Returns the cost in cold-start seconds at an operator's price. */
    double pricedCost(double coldSecondsPerIdleHour) {
        return coldSumMs / 1_000 + idleAcceleratorHours * coldSecondsPerIdleHour;
    }
}

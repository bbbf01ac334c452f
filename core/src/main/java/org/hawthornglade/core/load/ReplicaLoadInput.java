package org.hawthornglade.core.load;

/**
 * What one holder of a replica knows when it decides whether to load it.
 *
 * @param queued how many requests wait for the model at all entries
 * @param lowerReachable whether all holders of lower ordinals are reachable or not known to be gone
 * @param lowerReplicas how many lower ordinals are loaded or loading
 * @param lowerReadyInMs until the first of them can answer, in milliseconds; 0 if one is ready
 * @param lowerSlots how many requests those replicas run at once
 * @param serviceMs how long a replica runs one request, in milliseconds
 * @param expectedLoadMs how long loading this replica takes, in milliseconds
 * @param earliestDeadlineInMs until the earliest deadline of those that wait, in milliseconds
 */
public record ReplicaLoadInput(
        int queued,
        boolean lowerReachable,
        int lowerReplicas,
        long lowerReadyInMs,
        int lowerSlots,
        long serviceMs,
        long expectedLoadMs,
        long earliestDeadlineInMs) {}

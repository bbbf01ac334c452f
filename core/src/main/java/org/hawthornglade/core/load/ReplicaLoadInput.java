package org.hawthornglade.core.load;

/**
 * The demand and the replicas that a holder knows of when it decides whether to load its replica.
 *
 * @param queued how many requests wait for the model at all entries
 * @param lowerReachable whether all holders of lower ordinals are reachable or not known to be gone
 * @param lowerReplicas how many lower ordinals are loaded or loading
 * @param lowerReadyInMs the time until the first of them can answer, in milliseconds; 0 if one is ready
 * @param lowerSlots how many requests those replicas run concurrently
 * @param serviceMs how long a replica runs one request, in milliseconds
 * @param expectedLoadMs how long loading this replica takes, in milliseconds
 * @param earliestDeadlineInMs the time until the earliest deadline of the waiting requests, in milliseconds
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

package org.hawthornglade.core.load;

import org.hawthornglade.core.id.ModelName;

/**
 * A model or adapter that an instance may load because it is wanted.
 *
 * @param name the model or adapter
 * @param base the base model if it is an adapter; else null
 * @param memoryMb the accelerator memory it takes, in MiB
 * @param expectedLoadMs how long its load takes, in milliseconds; above 0
 * @param waitingWeight the sum of the class weights of the requests that wait for it at all entries
 * @param requestsPerHour how often it is asked for on average
 * @param requestedSinceMs when it was first wanted, in milliseconds
 * @param earliestDeadlineAtMs the earliest deadline of those that wait, in milliseconds; {@link Long#MAX_VALUE} if none
 */
public record LoadCandidate(
        ModelName name,
        ModelName base,
        int memoryMb,
        long expectedLoadMs,
        double waitingWeight,
        double requestsPerHour,
        long requestedSinceMs,
        long earliestDeadlineAtMs) {}

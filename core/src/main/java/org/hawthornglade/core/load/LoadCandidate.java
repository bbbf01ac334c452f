package org.hawthornglade.core.load;

import org.hawthornglade.core.id.ModelName;

/**
 * A model or adapter that an instance may load because it is requested.
 *
 * @param name the model or adapter
 * @param base the base model if it is an adapter; else null
 * @param memoryMb the accelerator memory that it takes, in MiB
 * @param expectedLoadMs the expected duration of its load, in milliseconds; above 0
 * @param waitingWeight the sum of the class weights of the requests that wait for it at all entries
 * @param requestsPerHour its average request rate
 * @param requestedSinceMs when it was first requested, in milliseconds
 * @param earliestDeadlineAtMs the earliest deadline of the waiting requests, in milliseconds; {@link Long#MAX_VALUE} if
 *     none waits
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

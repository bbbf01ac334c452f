package org.hawthornglade.core.load;

/**
 * Wakes one replica at a time: ordinal 0 at once, each further one when the lower ones do not suffice.
 *
 * <p>The lower ones do not suffice when they are not reachable, or when the last of the waiting requests would be
 * answered later by them than by this replica after its own load.
 */
public final class OrdinalLoadRule implements ReplicaLoadRule {
    // A further replica must at least halve the wait, unless a deadline would pass.
    private static final int MIN_SPEEDUP = 2;

    @Override
    public boolean shouldLoad(int ordinal, ReplicaLoadInput input) {
        if (input.queued() == 0) {
            return false;
        }
        if (ordinal == 0 || !input.lowerReachable()) {
            return true;
        }
        if (input.lowerReplicas() < ordinal || input.lowerSlots() == 0) {
            // A lower ordinal is about to load on the same demand.
            return false;
        }
        long drainMs = input.lowerReadyInMs() + input.queued() * input.serviceMs() / input.lowerSlots();
        boolean faster = input.expectedLoadMs() < drainMs;
        boolean late = input.earliestDeadlineInMs() < drainMs + input.serviceMs();
        return (faster && late) || MIN_SPEEDUP * input.expectedLoadMs() < drainMs;
    }
}

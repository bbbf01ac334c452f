package org.hawthornglade.core.load;

/**
 * Loads one replica at a time: ordinal 0 immediately, each further one when those of lower ordinals do not suffice.
 *
 * <p>The lower ordinals do not suffice when they are not reachable, or when they would answer the last of the waiting
 * requests later than this replica would after its own load.
 */
public final class OrdinalLoadRule implements ReplicaLoadRule {
    // Unless a deadline would pass, a further replica must at least halve the wait.
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
            // A lower ordinal is about to be loaded for the same demand.
            return false;
        }
        long drainMs = input.lowerReadyInMs() + input.queued() * input.serviceMs() / input.lowerSlots();
        boolean faster = input.expectedLoadMs() < drainMs;
        boolean missesDeadline = input.earliestDeadlineInMs() < drainMs + input.serviceMs();
        return (faster && missesDeadline) || MIN_SPEEDUP * input.expectedLoadMs() < drainMs;
    }
}

package org.hawthornglade.core.load;

/** Whether the holder of one replica loads it; decided by each holder on its own, without a leader. */
@FunctionalInterface
public interface ReplicaLoadRule {
    /**
     * Tells whether to load.
     *
     * @param ordinal the replica's number, from 0
     * @param input what the holder knows
     */
    boolean shouldLoad(int ordinal, ReplicaLoadInput input);
}

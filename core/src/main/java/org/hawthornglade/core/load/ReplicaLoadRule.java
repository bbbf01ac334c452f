package org.hawthornglade.core.load;

/** Decides whether the holder of a replica loads it; each holder decides independently, without a leader. */
@FunctionalInterface
public interface ReplicaLoadRule {
    /**
     * Returns whether the holder should load the replica.
     *
     * @param ordinal the ordinal of the replica, from 0
     * @param input the demand and the replicas that the holder knows of
     */
    boolean shouldLoad(int ordinal, ReplicaLoadInput input);
}

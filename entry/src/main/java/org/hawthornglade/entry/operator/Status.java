package org.hawthornglade.entry.operator;

import java.util.List;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.plan.PlanSummary;

/**
 * The state of the whole system as one entry sees it.
 *
 * @param configuration the newest configuration that this entry knows
 * @param store whether the table service answers
 * @param nodes every process
 * @param replicas every assignment row with what its holder reports
 * @param plans the plans that were not confirmed
 */
public record Status(
        InForce configuration, Store store, List<Node> nodes, List<ReplicaStatus> replicas, List<PlanSummary> plans) {
    /** Copies the lists. */
    public Status {
        nodes = List.copyOf(nodes);
        replicas = List.copyOf(replicas);
        plans = List.copyOf(plans);
    }

    /**
     * The configuration in force.
     *
     * @param version its version
     * @param office who confirmed it
     * @param planId the plan confirmed
     * @param confirmedAtMs when, in milliseconds since the Unix epoch
     */
    public record InForce(long version, String office, String planId, long confirmedAtMs) {}

    /**
     * The table service.
     *
     * @param reachable whether it answered just now
     * @param failure why not; empty if it did
     */
    public record Store(boolean reachable, String failure) {}

    /**
     * One process.
     *
     * @param instance its instance
     * @param role what runs there
     * @param failureDomain where
     * @param listed what the platform says of it
     * @param version the configuration version in force there; -1 if it could not be asked
     * @param behind whether that is below the newest
     * @param draining whether it takes no new work
     * @param endpointReachable whether its endpoint answers
     * @param running how many attempts it runs
     */
    public record Node(
            String instance,
            String role,
            String failureDomain,
            String listed,
            long version,
            boolean behind,
            boolean draining,
            boolean endpointReachable,
            int running) {}

    /**
     * One replica.
     *
     * @param model the base model
     * @param ordinal its number
     * @param instance who may load it
     * @param assignment the state of its row
     * @param phase what its holder reports; UNKNOWN if the holder is not heard
     * @param running how many requests it runs
     */
    public record ReplicaStatus(
            String model, int ordinal, String instance, AssignmentState assignment, String phase, int running) {}
}

package org.hawthornglade.entry.operator;

import java.util.List;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.plan.PlanSummary;

/**
 * The state of the whole system as seen by one entry.
 *
 * @param configuration the newest configuration that this entry knows
 * @param store whether the table service responds
 * @param nodes every process
 * @param replicas every assignment row with the report of its holder
 * @param plans the plans that are not confirmed
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
     * @param office the office that confirmed it
     * @param planId the confirmed plan
     * @param confirmedAtMs the time of the confirm, in milliseconds since the Unix epoch
     */
    public record InForce(long version, String office, String planId, long confirmedAtMs) {}

    /**
     * The state of the table service.
     *
     * @param reachable whether it responded to the read for this status
     * @param failure the failure of that read; empty if it responded
     */
    public record Store(boolean reachable, String failure) {}

    /**
     * The state of one process.
     *
     * @param instance the instance that it runs on
     * @param role the role of the instance
     * @param failureDomain the failure domain of the instance
     * @param listed the state of the instance in the platform's instance list, or NOT_LISTED
     * @param version the configuration version in force there; -1 if it is not known
     * @param behind whether that version is older than the newest
     * @param draining whether it accepts no new work
     * @param endpointReachable whether its endpoint responds
     * @param running the number of attempts that it runs
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
     * The state of one replica.
     *
     * @param model the base model
     * @param ordinal the number of the replica of this model
     * @param instance the instance that may load it
     * @param assignment the state of its assignment row
     * @param phase the phase that its holder reports; UNKNOWN without a report of the holder
     * @param running the number of requests that it runs
     */
    public record ReplicaStatus(
            String model, int ordinal, String instance, AssignmentState assignment, String phase, int running) {}
}

package org.hawthornglade.gateway;

import java.util.List;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.id.FailureDomain;

/**
 * The checked settings of an entry.
 *
 * @param node the name of this entry, unique over all
 * @param failureDomain where it stands
 * @param callerAddress where callers connect
 * @param readinessAddress where the balancer asks
 * @param peerAddress where other entries connect
 * @param storeAddress the platform's store
 * @param seeds addresses of other machines, possibly stale
 * @param leaseMs how long a lease of the placement leader lasts without a renewal
 * @param enginesCheckTokens whether engines refuse an older fencing token than one they have seen
 * @param graceMs how long a stop may take
 * @param retryShare repeated attempts allowed for each request, over all entries
 * @param retryBurst repeated attempts allowed beyond that within the budget's window, over all entries
 */
public record GatewaySettings(
        String node,
        FailureDomain failureDomain,
        InstanceAddress callerAddress,
        InstanceAddress readinessAddress,
        InstanceAddress peerAddress,
        InstanceAddress storeAddress,
        List<String> seeds,
        long leaseMs,
        boolean enginesCheckTokens,
        long graceMs,
        double retryShare,
        double retryBurst) {
    /** Copies the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns these settings with the limits of others: the part that a running entry can take over. */
    public GatewaySettings withLimitsOf(GatewaySettings other) {
        return new GatewaySettings(
                node,
                failureDomain,
                callerAddress,
                readinessAddress,
                peerAddress,
                storeAddress,
                seeds,
                leaseMs,
                enginesCheckTokens,
                other.graceMs,
                other.retryShare,
                other.retryBurst);
    }
}

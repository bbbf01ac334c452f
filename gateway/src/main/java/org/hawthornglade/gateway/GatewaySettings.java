package org.hawthornglade.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.quota.QuotaTolerance;
import org.hawthornglade.gateway.http.CallerLimits;
import org.hawthornglade.gateway.json.JsonFields;

/**
 * The validated settings of an entry.
 *
 * @param node the name of this entry, unique among all entries
 * @param failureDomain the failure domain of this entry
 * @param callerAddress the address for callers
 * @param readinessAddress the address for the readiness check of the load balancer
 * @param peerAddress the address for other entries
 * @param storeAddress the address of the platform's store
 * @param seeds addresses of other machines, possibly stale
 * @param leaseMs how long a lease of the placement leader is valid without a renewal
 * @param enginesCheckTokens whether engines reject fencing tokens older than one they have seen
 * @param graceMs the maximum duration of a stop
 * @param retryShare retries allowed per request, over all entries
 * @param retryBurst further retries allowed within the budget's window, over all entries
 * @param quotaTolerance by how much the use of quotas may exceed them
 * @param loadControl which decisions under load are enabled
 * @param callerLimits what callers' connections may hold
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
        double retryBurst,
        QuotaTolerance quotaTolerance,
        LoadControlSettings loadControl,
        CallerLimits callerLimits) {
    /** Makes an immutable copy of the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Reads limits for callers' connections; those that are not named have their defaults.
     *
     * @param maxDescriptors the descriptors that the process may open; 0 if nothing states them
     * @throws IllegalArgumentException if a limit is not a number or out of range
     */
    public static CallerLimits callerLimits(JsonNode json, double maxDescriptors) {
        CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                (int) JsonFields.number(json, "maxConnections", defaults.maxConnections()),
                (int) JsonFields.number(json, "maxHeaderFields", defaults.maxHeaderFields()),
                (int) JsonFields.number(json, "maxPipelinedRequests", defaults.maxPipelinedRequests()),
                (long) JsonFields.number(json, "maxHeadsBytes", (double) defaults.maxHeadsBytes()),
                (long) JsonFields.number(json, "unreadTimeoutMs", (double) defaults.unreadTimeoutMs()),
                (long) JsonFields.number(json, "minBodyBytesPerS", (double) defaults.minBodyBytesPerS()),
                (int) maxDescriptors);
    }

    /**
     * Reads which decisions under load are enabled.
     *
     * @param overloadAdmission whether early refusals are enabled if the settings do not say so
     * @throws IllegalArgumentException if a setting is not true or false
     */
    public static LoadControlSettings loadControl(JsonNode json, boolean overloadAdmission) {
        LoadControlSettings defaults = LoadControlSettings.NONE;
        boolean both = JsonFields.bool(json, "adaptivePacing", false);
        return new LoadControlSettings(
                JsonFields.bool(json, "concurrencyLimit", both || defaults.concurrencyLimit()),
                JsonFields.bool(json, "expectedTimeChoice", both || defaults.expectedTimeChoice()),
                JsonFields.bool(json, "overloadAdmission", overloadAdmission),
                JsonFields.bool(json, "diskCopies", defaults.diskCopies()),
                JsonFields.bool(json, "enginesCrashWhenFull", defaults.enginesCrashWhenFull()));
    }

    /** Returns these settings with the limits of others, which a running entry can apply. */
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
                other.retryBurst,
                quotaTolerance,
                loadControl,
                callerLimits);
    }
}

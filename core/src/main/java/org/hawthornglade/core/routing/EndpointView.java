package org.hawthornglade.core.routing;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;

/**
 * What an entry knows of an endpoint that could run a request.
 *
 * @param instance the endpoint's instance
 * @param domain its failure domain
 * @param ownInFlight how many requests this entry runs there now
 * @param ownAtReport how many of them ran when its last report was taken
 * @param reportedRunning how many requests of all entries ran by its last report
 * @param maxConcurrent how many it runs at once; above 0
 * @param adapterLoaded whether it has the adapter asked for
 */
public record EndpointView(
        InstanceId instance,
        FailureDomain domain,
        int ownInFlight,
        int ownAtReport,
        int reportedRunning,
        int maxConcurrent,
        boolean adapterLoaded) {
    /** Returns the load by the lagging report, corrected by what this entry has sent and got back since. */
    public int expectedRunning() {
        return Math.max(ownInFlight, reportedRunning + ownInFlight - ownAtReport);
    }

    /** Returns whether a request sent now is expected to start at once. */
    public boolean hasFreeSlot() {
        return expectedRunning() < maxConcurrent;
    }
}

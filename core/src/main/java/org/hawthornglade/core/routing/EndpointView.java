package org.hawthornglade.core.routing;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;

/**
 * The state of a candidate endpoint as an entry knows it.
 *
 * @param instance the endpoint's instance
 * @param domain its failure domain
 * @param ownInFlight how many requests this entry runs there now
 * @param ownAtReport how many requests of this entry ran there at the time of its last report
 * @param reportedRunning how many requests of all entries ran there according to its last report
 * @param maxConcurrent how many requests it runs concurrently; above 0
 * @param adapterLoaded whether it has loaded the adapter that the request needs
 */
public record EndpointView(
        InstanceId instance,
        FailureDomain domain,
        int ownInFlight,
        int ownAtReport,
        int reportedRunning,
        int maxConcurrent,
        boolean adapterLoaded) {
    /**
     * Returns the load of the lagging report, corrected by the requests that this entry has sent and that have ended
     * since.
     */
    public int expectedRunning() {
        return Math.max(ownInFlight, reportedRunning + ownInFlight - ownAtReport);
    }

    /** Returns whether a request sent now is expected to start without waiting. */
    public boolean hasFreeSlot() {
        return expectedRunning() < maxConcurrent;
    }
}

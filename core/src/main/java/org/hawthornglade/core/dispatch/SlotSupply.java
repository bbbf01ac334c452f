package org.hawthornglade.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;

/**
 * What is known of the endpoints that could run a call for which the selectors found no room.
 *
 * @param endpoints the number of these endpoints
 * @param ownInFlight the calls of this entry in flight there
 * @param inFlight the calls of all entries in flight there, as far as known
 * @param hasRoom whether an endpoint has room that selectors pass over after a failure, after an attempt of the call,
 *     or for want of a permit
 * @param loadedAtMs when a load of the call's model is expected to end, on the steady clock; empty if none is known
 */
public record SlotSupply(int endpoints, int ownInFlight, int inFlight, boolean hasRoom, OptionalLong loadedAtMs) {
    /**
     * Returns what is known for a call.
     *
     * @param usable the usable endpoints of its service
     */
    public static SlotSupply of(CallView call, List<Endpoint> usable, long nowMs) {
        int endpoints = 0;
        int ownInFlight = 0;
        int inFlight = 0;
        boolean hasRoom = false;
        for (Endpoint endpoint : usable) {
            if (!couldRun(call, endpoint, nowMs)) {
                continue;
            }
            int requests = endpoint.load().requests(nowMs);
            endpoints++;
            ownInFlight += endpoint.load().ownRequests();
            inFlight += requests;
            boolean passedOver = call.tried().contains(endpoint.id())
                    || endpoint.health().inBackoff(nowMs)
                    || !RateLimitWait.sendable(endpoint, nowMs);
            hasRoom |= passedOver && requests < endpoint.record().slots();
        }
        Optional<ModelDemand> demand = call.demand();
        OptionalLong loadedAtMs =
                demand.isPresent() ? ReplicaWait.expectedAtMs(demand.get(), usable, nowMs) : OptionalLong.empty();
        return new SlotSupply(endpoints, ownInFlight, inFlight, hasRoom, loadedAtMs);
    }

    private static boolean couldRun(CallView call, Endpoint endpoint, long nowMs) {
        if (!call.mayRunAt(endpoint.record().softwareVersion())
                || endpoint.health().unreachable(nowMs)
                || !endpoint.notices().acceptsCalls(nowMs)) {
            return false;
        }
        return call.demand()
                .map(demand -> endpoint.serves(demand.model(), demand.adapter(), nowMs))
                .orElse(true);
    }
}

package org.hawthornglade.core.dispatch;

import java.util.List;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.FailureDomain;

/** The choice of instances of plain services without pacing, as a reference for tests. */
final class UnpacedLeastLoadedSelector implements EndpointSelector {
    /** Penalty of an instance that fails all its requests, relative to the load of a full instance. */
    private static final double FAILURE_PENALTY = 2.0;
    /** Cost of a call to another failure domain, relative to the load of a full instance. */
    private static final double CROSS_DOMAIN_COST = 0.1;

    private final FailureDomain localDomain;

    /**
     * Creates a selector.
     *
     * @param localDomain the failure domain of this entry
     */
    UnpacedLeastLoadedSelector(FailureDomain localDomain) {
        this.localDomain = localDomain;
    }

    @Override
    public Decision select(CallView call, List<Endpoint> usable, long nowMs) {
        List<Endpoint> unpaused = PauseWait.unpaused(usable, nowMs);
        if (unpaused.isEmpty()) {
            return PauseWait.decide(call, PauseWait.earliestEndAtMs(usable), nowMs);
        }
        if (RateLimitWait.sendable(unpaused, nowMs).isEmpty()) {
            return RateLimitWait.decide(call, unpaused, Long.MAX_VALUE, nowMs);
        }
        Endpoint best = cheapest(call, RateLimitWait.selectable(unpaused, nowMs), nowMs);
        if (best == null) {
            return new Decision.Wait("slots");
        }
        return RateLimitWait.sendable(best, nowMs)
                ? new Decision.Send(best, 0, "least-loaded")
                : new Decision.AwaitPermit(best, true, OptionalLong.empty());
    }

    private Endpoint cheapest(CallView call, List<Endpoint> unpaused, long nowMs) {
        Endpoint best = null;
        double bestCost = Double.MAX_VALUE;
        for (Endpoint endpoint : Candidates.preferred(call, unpaused, nowMs)) {
            int requests = endpoint.load().requests(nowMs);
            if (requests >= endpoint.record().slots()) {
                continue;
            }
            double cost = cost(endpoint, requests, nowMs);
            if (cost < bestCost) {
                best = endpoint;
                bestCost = cost;
            }
        }
        return best;
    }

    private double cost(Endpoint endpoint, int requests, long nowMs) {
        double load = (double) requests / endpoint.record().slots();
        double crossDomain = endpoint.record().failureDomain().equals(localDomain) ? 0 : CROSS_DOMAIN_COST;
        return load + crossDomain + FAILURE_PENALTY * endpoint.health().failureRate(nowMs);
    }
}

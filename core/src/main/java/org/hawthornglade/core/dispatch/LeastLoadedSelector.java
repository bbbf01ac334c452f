package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.pace.Pacing;

/** Sends calls of plain services to the instance with the largest share of free slots. */
public final class LeastLoadedSelector implements EndpointSelector {
    /** Penalty of an instance that fails all its requests, relative to the load of a full instance. */
    private static final double FAILURE_PENALTY = 2.0;
    /** Cost of a call to another failure domain, relative to the load of a full instance. */
    private static final double CROSS_DOMAIN_COST = 0.1;

    private final FailureDomain localDomain;
    private final Pacing pacing;
    private final PacedChoice pacedChoice;

    /**
     * Creates a selector that paces only instances which state their slowdown.
     *
     * @param localDomain the failure domain of this entry
     */
    public LeastLoadedSelector(FailureDomain localDomain) {
        this(localDomain, Pacing.onlyStated(new Random(0)));
    }

    /**
     * Creates a selector.
     *
     * @param localDomain the failure domain of this entry
     * @param pacing what is known of the service rates of instances
     */
    public LeastLoadedSelector(FailureDomain localDomain, Pacing pacing) {
        this.localDomain = localDomain;
        this.pacing = pacing;
        this.pacedChoice = new PacedChoice(pacing);
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
        if (pacedChoice.byTime(unpaused)) {
            return cheapestPaced(call, Candidates.preferred(call, unpaused, nowMs), nowMs);
        }
        Endpoint best = null;
        double bestCost = Double.MAX_VALUE;
        for (Endpoint endpoint : Candidates.preferred(call, unpaused, nowMs)) {
            int requests = endpoint.load().requests(nowMs);
            if (!hasRoom(endpoint, call, requests, nowMs)) {
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

    private Endpoint cheapestPaced(CallView call, List<Endpoint> unpaused, long nowMs) {
        List<Endpoint> open = new ArrayList<>();
        double[] costs = new double[unpaused.size()];
        for (Endpoint endpoint : unpaused) {
            int requests = endpoint.load().requests(nowMs);
            if (hasRoom(endpoint, call, requests, nowMs)) {
                costs[open.size()] = pacedCost(endpoint, call, requests, nowMs);
                open.add(endpoint);
            }
        }
        int chosen = pacedChoice.spread(costs, open.size());
        return chosen < 0 ? null : open.get(chosen);
    }

    private boolean hasRoom(Endpoint endpoint, CallView call, int requests, long nowMs) {
        // Asked for a full server too, so that it is known when it was full.
        boolean mayStart = pacedChoice.mayStart(endpoint, call, pacedChoice.freeCalls(endpoint, nowMs), nowMs);
        return mayStart && requests < endpoint.record().slots();
    }

    /** Returns the cost of a call, in which the instance's service rate counts like the load. */
    private double pacedCost(Endpoint endpoint, CallView call, int requests, long nowMs) {
        double added = cost(endpoint, 0, nowMs);
        if (!pacing.choosesByTime(endpoint.pace())) {
            return 1 + cost(endpoint, requests, nowMs);
        }
        double load = (double) requests / endpoint.record().slots();
        return endpoint.pace().slowdown(WorkKind.plain(call), nowMs) * (1 + load) + added;
    }

    private double cost(Endpoint endpoint, int requests, long nowMs) {
        double load = (double) requests / endpoint.record().slots();
        double crossDomain = endpoint.record().failureDomain().equals(localDomain) ? 0 : CROSS_DOMAIN_COST;
        return load + crossDomain + FAILURE_PENALTY * endpoint.health().failureRate(nowMs);
    }
}

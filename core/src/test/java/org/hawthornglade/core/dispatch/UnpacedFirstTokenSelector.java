package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.serving.EngineDefinition;

/** The choice of engines without pacing, as a reference for tests. */
final class UnpacedFirstTokenSelector implements EndpointSelector {
    /** Prompt tokens that an engine prefills in a millisecond. */
    private static final double PREFILL_TOKENS_PER_MS = 30;
    /** Expected delay of the first token by each running request. */
    private static final double MS_PER_RUNNING_REQUEST = 0.5;
    /** Expected delay of a call to another failure domain. */
    private static final double CROSS_DOMAIN_MS = 3;
    /** Penalty of an instance that fails all its requests. */
    private static final double FAILURE_PENALTY_MS = 2_000;
    /** Share of the KV cache that running requests may need in total; beyond it the engine preempts some. */
    private static final double MAX_KV_FILL = 0.85;
    /** Share of the batch slots that is filled before calls wait at the entry. */
    private static final double MAX_BATCH_FILL = 0.95;

    private final FailureDomain localDomain;
    private final Function<ServiceName, EngineDefinition> engines;

    /**
     * Creates a selector.
     *
     * @param localDomain the failure domain of this entry
     * @param engines returns the engine definition of a service that runs models
     */
    UnpacedFirstTokenSelector(FailureDomain localDomain, Function<ServiceName, EngineDefinition> engines) {
        this.localDomain = localDomain;
        this.engines = engines;
    }

    @Override
    public Decision select(CallView call, List<Endpoint> usable, long nowMs) {
        ModelDemand demand = call.demand().orElseThrow();
        List<Endpoint> holders = new ArrayList<>();
        for (Endpoint endpoint : usable) {
            boolean reachable = !endpoint.health().unreachable(nowMs);
            if (reachable && endpoint.serves(demand.model(), demand.adapter(), nowMs)) {
                holders.add(endpoint);
            }
        }
        List<Endpoint> unpaused = PauseWait.unpaused(holders, nowMs);
        if (unpaused.isEmpty() && !holders.isEmpty()) {
            long loadedAtMs = ReplicaWait.expectedAtMs(demand, usable, nowMs).orElse(Long.MAX_VALUE);
            return PauseWait.decide(call, Math.min(loadedAtMs, PauseWait.earliestEndAtMs(holders)), nowMs);
        }
        if (unpaused.isEmpty()) {
            double prefillMs = demand.promptTokens() / PREFILL_TOKENS_PER_MS;
            return ReplicaWait.decide(call, demand, engines.apply(call.service()), usable, prefillMs, nowMs);
        }
        if (RateLimitWait.sendable(unpaused, nowMs).isEmpty()) {
            long loadedAtMs = ReplicaWait.expectedAtMs(demand, usable, nowMs).orElse(Long.MAX_VALUE);
            return RateLimitWait.decide(call, unpaused, loadedAtMs, nowMs);
        }
        Endpoint best = earliest(call, demand, RateLimitWait.selectable(unpaused, nowMs), nowMs);
        if (best == null) {
            return new Decision.Wait("capacity");
        }
        if (!RateLimitWait.sendable(best, nowMs)) {
            return new Decision.AwaitPermit(best, true, OptionalLong.empty());
        }
        int cached = best.prefixCache().cachedTokens(demand.variant(), demand.prefix());
        return new Decision.Send(best, cached, "first-token");
    }

    private Endpoint earliest(CallView call, ModelDemand demand, List<Endpoint> holders, long nowMs) {
        EngineDefinition engine = engines.apply(call.service());
        Endpoint best = null;
        double bestMs = Double.MAX_VALUE;
        for (Endpoint endpoint : Candidates.preferred(call, holders, nowMs)) {
            if (!hasRoom(endpoint, demand, engine, nowMs)) {
                continue;
            }
            double expectedMs = expectedMs(endpoint, demand, nowMs);
            if (expectedMs < bestMs) {
                best = endpoint;
                bestMs = expectedMs;
            }
        }
        return best;
    }

    private static boolean hasRoom(Endpoint endpoint, ModelDemand demand, EngineDefinition engine, long nowMs) {
        if (endpoint.load().requests(nowMs) >= MAX_BATCH_FILL * engine.batchSlots()) {
            return false;
        }
        long tokens = endpoint.load().ownTokens();
        return tokens == 0 || tokens + demand.kvTokens() <= MAX_KV_FILL * engine.kvCapacityTokens();
    }

    private double expectedMs(Endpoint endpoint, ModelDemand demand, long nowMs) {
        int cached = endpoint.prefixCache().cachedTokens(demand.variant(), demand.prefix());
        long toRead = endpoint.load().ownPrefillTokens() + demand.promptTokens() - cached;
        double crossDomainMs = endpoint.record().failureDomain().equals(localDomain) ? 0 : CROSS_DOMAIN_MS;
        double permitMs = RateLimitWait.sendable(endpoint, nowMs) ? 0 : RateLimitWait.PERMIT_REQUEST_MS;
        return permitMs
                + toRead / PREFILL_TOKENS_PER_MS
                + endpoint.load().requests(nowMs) * MS_PER_RUNNING_REQUEST
                + crossDomainMs
                + FAILURE_PENALTY_MS * endpoint.health().failureRate(nowMs);
    }
}

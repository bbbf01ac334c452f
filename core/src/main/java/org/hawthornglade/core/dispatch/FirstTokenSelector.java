package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Function;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.serving.EngineDefinition;

/** Sends generations to the instance that is expected to produce the first token earliest. */
public final class FirstTokenSelector implements EndpointSelector {
    /** Prompt tokens that an engine prefills in a millisecond. */
    private static final double PREFILL_TOKENS_PER_MS = 30;
    /** Expected delay of the first token by each running request. */
    private static final double MS_PER_RUNNING_REQUEST = 0.5;
    /**
     * Expected delay of the first token by prompts of other entries that an engine has not read yet, for each request
     * in flight, where the service rate is used. In PacedDeployment 4 and 12 served calls earlier than 0.
     */
    private static final double QUEUED_MS_PER_REQUEST = 8;
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
    private final Pacing pacing;
    private final PacedChoice pacedChoice;
    private final EngineMemory memory;

    /**
     * Creates a selector that paces only engines which state their slowdown.
     *
     * @param localDomain the failure domain of this entry
     * @param engines returns the engine definition of a service that runs models
     */
    public FirstTokenSelector(FailureDomain localDomain, Function<ServiceName, EngineDefinition> engines) {
        this(localDomain, engines, Pacing.onlyStated(new Random(0)));
    }

    /**
     * Creates a selector.
     *
     * @param localDomain the failure domain of this entry
     * @param engines returns the engine definition of a service that runs models
     * @param pacing what is known of the service rates of engines
     */
    public FirstTokenSelector(
            FailureDomain localDomain, Function<ServiceName, EngineDefinition> engines, Pacing pacing) {
        this.localDomain = localDomain;
        this.engines = engines;
        this.pacing = pacing;
        this.pacedChoice = new PacedChoice(pacing);
        this.memory = new EngineMemory(pacing);
    }

    /**
     * Returns how long the first token of a request is expected to take at an engine at its usual service rate before
     * anything is learned, in milliseconds.
     *
     * @param prefillTokens the prompt tokens to be read before it
     * @param requests the requests in flight at the engine
     */
    public static double startMs(long prefillTokens, int requests) {
        return prefillTokens / PREFILL_TOKENS_PER_MS + requests * MS_PER_RUNNING_REQUEST;
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
        if (pacedChoice.byTime(holders)) {
            return earliestPaced(call, demand, engine, Candidates.preferred(call, holders, nowMs), nowMs);
        }
        Endpoint best = null;
        double bestMs = Double.MAX_VALUE;
        for (Endpoint endpoint : Candidates.preferred(call, holders, nowMs)) {
            if (!hasRoom(endpoint, call, demand, engine, nowMs)) {
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

    private Endpoint earliestPaced(
            CallView call, ModelDemand demand, EngineDefinition engine, List<Endpoint> holders, long nowMs) {
        List<Endpoint> open = new ArrayList<>();
        double[] costs = new double[holders.size()];
        for (Endpoint endpoint : holders) {
            if (hasRoom(endpoint, call, demand, engine, nowMs)) {
                costs[open.size()] = pacedMs(endpoint, call, demand, nowMs);
                open.add(endpoint);
            }
        }
        int chosen = pacedChoice.byPrefix(costs, open, demand);
        return chosen < 0 ? null : open.get(chosen);
    }

    private double pacedMs(Endpoint endpoint, CallView call, ModelDemand demand, long nowMs) {
        if (!pacing.choosesByTime(endpoint.pace())) {
            return expectedMs(endpoint, demand, nowMs);
        }
        double slowdown = endpoint.pace().generationSlowdown(nowMs);
        double factor = pacing.usualTimes().factor(WorkKind.firstToken(call)) * slowdown;
        double queuedMs = QUEUED_MS_PER_REQUEST * endpoint.load().requests(nowMs);
        return factor * readMs(endpoint, demand, nowMs) + queuedMs + addedMs(endpoint, nowMs);
    }

    private boolean hasRoom(Endpoint endpoint, CallView call, ModelDemand demand, EngineDefinition engine, long nowMs) {
        // Asked for a full engine too, so that it is known when it was full.
        boolean mayStart = pacedChoice.mayStart(endpoint, call, pacedChoice.freeCalls(endpoint, nowMs), nowMs);
        if (!mayStart || endpoint.load().requests(nowMs) >= MAX_BATCH_FILL * engine.batchSlots()) {
            return false;
        }
        if (pacing.enginesCrashWhenFull()) {
            double usableTokens = MAX_KV_FILL * engine.kvCapacityTokens();
            double fitting =
                    memory.freeCalls(endpoint, call.service(), demand, engine.kvCapacityTokens(), usableTokens);
            return pacedChoice.mayFill(endpoint, call, fitting, nowMs);
        }
        long tokens = endpoint.load().ownTokens();
        boolean fits = tokens == 0 || tokens + demand.kvTokens() <= MAX_KV_FILL * engine.kvCapacityTokens();
        return fits;
    }

    private double expectedMs(Endpoint endpoint, ModelDemand demand, long nowMs) {
        return readMs(endpoint, demand, nowMs) + addedMs(endpoint, nowMs);
    }

    /** Returns the time until the first token at the usual service rate. */
    private static double readMs(Endpoint endpoint, ModelDemand demand, long nowMs) {
        int cached = endpoint.prefixCache().cachedTokens(demand.variant(), demand.prefix());
        long toRead = endpoint.load().ownPrefillTokens() + demand.promptTokens() - cached;
        return startMs(toRead, endpoint.load().requests(nowMs));
    }

    /** Returns the expected delays that do not depend on the service rate. */
    private double addedMs(Endpoint endpoint, long nowMs) {
        double crossDomainMs = endpoint.record().failureDomain().equals(localDomain) ? 0 : CROSS_DOMAIN_MS;
        double permitMs = RateLimitWait.sendable(endpoint, nowMs) ? 0 : RateLimitWait.PERMIT_REQUEST_MS;
        return permitMs + crossDomainMs + FAILURE_PENALTY_MS * endpoint.health().failureRate(nowMs);
    }
}

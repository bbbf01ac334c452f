package org.hawthornglade.core.agent;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.idle.FixedKeepAlive;
import org.hawthornglade.core.idle.IdlePolicy;
import org.hawthornglade.core.load.AdapterLoadLimit;
import org.hawthornglade.core.load.AdaptiveLoadConcurrency;
import org.hawthornglade.core.load.EvictionPolicy;
import org.hawthornglade.core.load.LoadConcurrency;
import org.hawthornglade.core.load.LoadOrder;
import org.hawthornglade.core.load.LoadTimeEstimator;
import org.hawthornglade.core.load.OrderedEviction;
import org.hawthornglade.core.load.OrdinalLoadRule;
import org.hawthornglade.core.load.ReplicaLoadRule;
import org.hawthornglade.core.load.SmithLoadOrder;
import org.hawthornglade.core.retry.Backoff;

/**
 * What varies in the decisions of an agent. Holds state: each agent needs policies of its own.
 *
 * @param loadRule whether a replica is loaded on the demand seen
 * @param loadOrder what is loaded first
 * @param modelLoads how many base models are loaded at once
 * @param adapterLoads how many adapters are loaded at once
 * @param eviction what is unloaded to make room
 * @param idle when an idle model is unloaded, and loaded again ahead of requests
 * @param loadTime how long loads take
 * @param orderBackoff when a failed order is given again
 * @param random the source of jitter
 */
public record AgentPolicies(
        ReplicaLoadRule loadRule,
        LoadOrder loadOrder,
        LoadConcurrency modelLoads,
        LoadConcurrency adapterLoads,
        EvictionPolicy eviction,
        IdlePolicy idle,
        LoadTimeEstimator<CheckpointTier> loadTime,
        Backoff orderBackoff,
        RandomGenerator random) {
    /** Fast, as a load that was never measured must not make an entry refuse the first request. */
    private static final Map<CheckpointTier, Double> ASSUMED_MB_PER_SECOND =
            Map.of(CheckpointTier.MEMORY, 40_000.0, CheckpointTier.DISK, 16_000.0, CheckpointTier.REMOTE, 8_000.0);

    private static final long AGEING_MS = 10_000;
    private static final int INITIAL_LOADS = 2;
    private static final int MAX_LOADS = 8;
    private static final Backoff ORDER_BACKOFF = new Backoff(500, 10_000);
    private static final long SEED = 1;

    /** Returns the policies in use, with a rule for idle models. */
    public static AgentPolicies with(IdlePolicy idle, RandomGenerator random) {
        return new AgentPolicies(
                new OrdinalLoadRule(),
                new SmithLoadOrder(AGEING_MS),
                new AdaptiveLoadConcurrency(INITIAL_LOADS, MAX_LOADS),
                new AdapterLoadLimit(),
                OrderedEviction.leastRecentlyUsed(),
                idle,
                new LoadTimeEstimator<>(CheckpointTier.class, ASSUMED_MB_PER_SECOND),
                ORDER_BACKOFF,
                random);
    }

    /** Returns policies with a fixed keep-alive, in milliseconds, and a fixed seed. */
    public static AgentPolicies simple(long keepAliveMs) {
        return with(FixedKeepAlive.ofMs(keepAliveMs), new SplittableRandom(SEED));
    }
}

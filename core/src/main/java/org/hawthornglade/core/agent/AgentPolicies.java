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
 * The replaceable policies of an agent. They hold state and must not be shared between agents.
 *
 * @param loadRule decides whether the observed demand is a reason to load a replica
 * @param loadOrder decides which load goes first
 * @param modelLoads limits how many base models are loaded at once
 * @param adapterLoads limits how many adapters are loaded at once
 * @param eviction decides what is unloaded to free memory
 * @param idle decides when an idle model is unloaded, and when it is loaded again ahead of requests
 * @param loadTime estimates load times
 * @param orderBackoff the delay before a failed order is repeated
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
    /** High rates, so that an entry does not refuse the first request because of a load time not yet observed. */
    private static final Map<CheckpointTier, Double> ASSUMED_MB_PER_SECOND =
            Map.of(CheckpointTier.MEMORY, 40_000.0, CheckpointTier.DISK, 16_000.0, CheckpointTier.REMOTE, 8_000.0);

    private static final long AGEING_MS = 10_000;
    private static final int INITIAL_LOADS = 2;
    private static final int MAX_LOADS = 8;
    private static final Backoff ORDER_BACKOFF = new Backoff(500, 10_000);
    private static final long SEED = 1;

    /** Returns the standard policies with the given policy for idle models. */
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

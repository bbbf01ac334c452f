package org.hawthornglade.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.admission.DeadlineAdmissionQueue;
import org.hawthornglade.core.admission.FifoAdmissionQueue;
import org.hawthornglade.core.idle.FixedKeepAlive;
import org.hawthornglade.core.idle.HistogramIdlePolicy;
import org.hawthornglade.core.idle.IdlePrice;
import org.hawthornglade.core.load.AdapterLoadLimit;
import org.hawthornglade.core.load.AdaptiveLoadConcurrency;
import org.hawthornglade.core.load.FifoLoadOrder;
import org.hawthornglade.core.load.FixedLoadConcurrency;
import org.hawthornglade.core.load.LeastCommittedPlacement;
import org.hawthornglade.core.load.LocalWeightsPlacement;
import org.hawthornglade.core.load.OrderedEviction;
import org.hawthornglade.core.load.OrdinalLoadRule;
import org.hawthornglade.core.load.PopularityLoadOrder;
import org.hawthornglade.core.load.ReplicaLoadRule;
import org.hawthornglade.core.load.SmithLoadOrder;
import org.hawthornglade.core.routing.AffinityChooser;
import org.hawthornglade.core.routing.LeastReportedLoadChooser;
import org.hawthornglade.core.routing.RandomChooser;

/** Creates the sets of policies to compare. */
final class Policies {
    private static final long MINUTE_MS = 60_000;
    private static final int[] KEEP_ALIVE_MINUTES = {1, 2, 5, 10, 20, 30, 45, 60, 120, 240};
    private static final int BASELINE_LOADS = 4;
    private static final long AGEING_MS = 60_000;
    private static final long COMMITMENT_PENALTY_MS = 10_000;
    private static final double AFFINITY_TOLERANCE = 0.25;
    private static final double PACK_BELOW = 0.5;
    // From this price upwards requests are packed, and no model is loaded ahead of a request.
    private static final double SAVE_IDLE_FROM_PRICE = 60;
    private static final ReplicaLoadRule LOAD_IF_QUEUED = (ordinal, input) -> input.queued() > 0;

    private Policies() {}

    /** Returns a baseline: FIFO queues and loads, least reported load, and one keep-alive for all models. */
    static PolicySet baseline(int keepAliveMinutes) {
        return new PolicySet(
                "baseline-" + keepAliveMinutes + "min",
                FifoAdmissionQueue::new,
                FifoLoadOrder::new,
                () -> new FixedLoadConcurrency(BASELINE_LOADS),
                () -> new FixedLoadConcurrency(1),
                OrderedEviction::leastRecentlyUsed,
                () -> LOAD_IF_QUEUED,
                () -> FixedKeepAlive.ofMs(keepAliveMinutes * MINUTE_MS),
                LeastReportedLoadChooser::new,
                new LeastCommittedPlacement(),
                false);
    }

    /** Returns the baselines with all keep-alive values, from which the best one is selected. */
    static List<PolicySet> baselines() {
        List<PolicySet> sets = new ArrayList<>();
        for (int minutes : KEEP_ALIVE_MINUTES) {
            sets.add(baseline(minutes));
        }
        return sets;
    }

    /** Returns the policies chosen for a deployment. */
    static PolicySet chosen(Deployment deployment) {
        boolean saveIdle = deployment.idle().coldSecondsPerIdleHour() >= SAVE_IDLE_FROM_PRICE;
        IdlePrice price = IdlePrice.linear(deployment.idle());
        return new PolicySet(
                "chosen",
                DeadlineAdmissionQueue::new,
                () -> new SmithLoadOrder(AGEING_MS),
                () -> new AdaptiveLoadConcurrency(2, 8),
                AdapterLoadLimit::new,
                OrderedEviction::leastRecentlyUsed,
                OrdinalLoadRule::new,
                () -> new HistogramIdlePolicy(price, !saveIdle),
                () -> new AffinityChooser(AFFINITY_TOLERANCE, saveIdle ? PACK_BELOW : 0),
                new LocalWeightsPlacement(COMMITMENT_PENALTY_MS),
                true);
    }

    /** Returns the chosen policies with one of them replaced, for each alternative. */
    static List<PolicySet> variants(Deployment deployment, PolicySet baseline) {
        PolicySet chosen = chosen(deployment);
        List<PolicySet> sets = new ArrayList<>();
        sets.add(chosen);
        sets.add(chosen.withAdmission("fifo-queue", FifoAdmissionQueue::new));
        sets.add(chosen.withOrder("fifo-loads", FifoLoadOrder::new));
        sets.add(chosen.withOrder("popularity-loads", PopularityLoadOrder::new));
        sets.add(chosen.withConcurrency("fixed-1-load", () -> new FixedLoadConcurrency(1)));
        sets.add(chosen.withConcurrency("fixed-4-loads", () -> new FixedLoadConcurrency(4)));
        sets.add(chosen.withAdapterConcurrency("one-adapter", () -> new FixedLoadConcurrency(1)));
        sets.add(chosen.withEviction("eviction-exponent-1", () -> OrderedEviction.cheapestToReload(1)));
        sets.add(chosen.withEviction("eviction-exponent-3", () -> OrderedEviction.cheapestToReload(3)));
        sets.add(chosen.withEviction("eviction-exponent-2", () -> OrderedEviction.cheapestToReload(2)));
        sets.add(chosen.withLoadRule("wake-all", () -> LOAD_IF_QUEUED));
        sets.add(chosen.withIdle("best-keep-alive", baseline.idle()));
        sets.add(chosen.withIdle("exponent-2", () -> new HistogramIdlePolicy(convex(deployment, 2), true)));
        sets.add(chosen.withIdle(
                "no-prewarm", () -> new HistogramIdlePolicy(IdlePrice.linear(deployment.idle()), false)));
        sets.add(chosen.withIdle("prewarm", () -> new HistogramIdlePolicy(IdlePrice.linear(deployment.idle()), true)));
        sets.add(chosen.withIdle("exponent-1.5", () -> new HistogramIdlePolicy(convex(deployment, 1.5), true)));
        sets.add(chosen.withIdle("exponent-3", () -> new HistogramIdlePolicy(convex(deployment, 3), true)));
        for (double exponent : new double[] {2, 3}) {
            sets.add(chosen.withIdle("", () -> new HistogramIdlePolicy(convex(deployment, exponent), true))
                    .withEviction(
                            "both-exponents-" + (int) exponent, () -> OrderedEviction.cheapestToReload(exponent)));
        }
        sets.add(chosen.withChooser("spread", () -> new AffinityChooser(AFFINITY_TOLERANCE)));
        sets.add(chosen.withChooser("pack", () -> new AffinityChooser(AFFINITY_TOLERANCE, PACK_BELOW)));
        sets.add(chosen.withChooser("least-reported", LeastReportedLoadChooser::new));
        sets.add(chosen.withChooser("random", RandomChooser::new));
        for (long penaltyMs : new long[] {30_000, 60_000}) {
            sets.add(chosen.withPlacement("penalty-" + penaltyMs, new LocalWeightsPlacement(penaltyMs)));
            sets.add(chosen.withPlacement("", new LocalWeightsPlacement(penaltyMs))
                    .withIdle(
                            "penalty-" + penaltyMs + "-no-prewarm",
                            () -> new HistogramIdlePolicy(IdlePrice.linear(deployment.idle()), false)));
        }
        sets.add(chosen.withPlacement("least-committed", new LeastCommittedPlacement()));
        sets.add(chosen.withFixedRetries("fixed-retries"));
        sets.add(baseline.withPlacement("baseline-local-copies", new LocalWeightsPlacement(COMMITMENT_PENALTY_MS)));
        return sets;
    }

    private static IdlePrice convex(Deployment deployment, double exponent) {
        return IdlePrice.convex(deployment.idle(), exponent);
    }
}

package org.hawthornglade.core.idle;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.config.IdleSpec;
import org.hawthornglade.core.id.ModelName;

/**
 * Plans how long an idle model stays loaded by the distribution of its idle gaps.
 *
 * <p>The idle gaps of each model are counted in a histogram, with those of all models as a prior while it has few of
 * its own. Of all unload times, and windows for pre-warming ahead of a request, the plan uses those with the lowest
 * expected cost over these gaps: idle accelerator hours at the configured price, and cold starts by their load time.
 */
public final class HistogramIdlePolicy implements IdlePolicy {
    private static final double HOUR_MS = 3_600_000;
    private static final double SECOND_MS = 1_000;
    private static final double GAP_WEIGHT_DECAY = 0.97;
    private static final double PRIOR_WEIGHT = 2;
    private static final double REPLAN_NEW_GAP_SHARE = 0.1;

    /** From this price on, pre-warming cost more idle hours than it saved waiting; see docs/measurements/POLICY.md. */
    private static final double NO_PREWARM_FROM_SECONDS_PER_HOUR = 60;

    private IdlePrice price;
    private boolean prewarm;
    private final GapHistogram allGaps = new GapHistogram();
    private final Map<ModelName, ModelHistory> histories = new HashMap<>();

    /** Creates a policy that follows the configured price. */
    public static HistogramIdlePolicy of(IdleSpec spec) {
        HistogramIdlePolicy policy = new HistogramIdlePolicy(IdlePrice.linear(spec), false);
        policy.updatePrice(spec);
        return policy;
    }

    /**
     * Creates a policy.
     *
     * @param price how cold starts weigh against idle accelerator hours
     * @param prewarm whether models may be loaded ahead of a request
     */
    public HistogramIdlePolicy(IdlePrice price, boolean prewarm) {
        this.price = price;
        this.prewarm = prewarm;
    }

    @Override
    public void onRequest(ModelName model, long nowMs) {
        ModelHistory history = histories.computeIfAbsent(model, name -> new ModelHistory());
        if (history.idleSinceMs >= 0) {
            long gapMs = nowMs - history.idleSinceMs;
            history.gaps.add(gapMs, GAP_WEIGHT_DECAY);
            allGaps.add(gapMs, 1);
            history.newGaps++;
        }
        history.idleSinceMs = -1;
    }

    @Override
    public IdlePlan plan(ModelName model, long idleSinceMs, ReplicaCost cost) {
        ModelHistory history = histories.computeIfAbsent(model, name -> new ModelHistory());
        history.idleSinceMs = idleSinceMs;
        if (history.needsNewPlan(cost)) {
            history.plan = cheapest(history.gaps, cost);
            history.planCost = cost;
            history.newGaps = 0;
        }
        return history.plan.from(idleSinceMs);
    }

    @Override
    public void updatePrice(IdleSpec spec) {
        price = IdlePrice.linear(spec);
        prewarm = spec.coldSecondsPerIdleHour() < NO_PREWARM_FROM_SECONDS_PER_HOUR;
        histories.values().forEach(history -> history.plan = null);
    }

    private Offsets cheapest(GapHistogram gaps, ReplicaCost cost) {
        if (allGaps.total() + gaps.total() < 1) {
            // Before any gap is known, keeping the model until that costs as much as a cold start costs at most twice
            // the optimum.
            double breakEvenMs = coldCost(price, cost) / holdingCost(price, cost, 1);
            return new Offsets(Math.round(breakEvenMs), IdlePlan.NEVER, IdlePlan.NEVER);
        }
        double[] probability = new double[GapHistogram.BINS];
        double[] middleMs = new double[GapHistogram.BINS];
        double priorTotal = Math.max(1, allGaps.total());
        for (int bin = 0; bin < GapHistogram.BINS; bin++) {
            double prior = PRIOR_WEIGHT * allGaps.weight(bin) / priorTotal;
            probability[bin] = (gaps.weight(bin) + prior) / (gaps.total() + PRIOR_WEIGHT);
            middleMs[bin] = GapHistogram.middleMs(bin);
        }
        return new PlanSearch(probability, middleMs, price, cost).cheapest(prewarm);
    }

    /** The idle gaps of one model and the plan that was computed from them. */
    private static final class ModelHistory {
        private final GapHistogram gaps = new GapHistogram();
        private long idleSinceMs = -1;
        private Offsets plan;
        private ReplicaCost planCost;
        private int newGaps;

        // One more gap among many changes the plan little, and a search costs far more than a look-up.
        boolean needsNewPlan(ReplicaCost cost) {
            return plan == null || !cost.equals(planCost) || newGaps > REPLAN_NEW_GAP_SHARE * gaps.total();
        }
    }

    /** A plan with times relative to the start of the idle gap. */
    record Offsets(long unloadAfterMs, long prewarmAfterMs, long prewarmUntilMs) {
        IdlePlan from(long idleSinceMs) {
            return new IdlePlan(
                    plus(idleSinceMs, unloadAfterMs),
                    plus(idleSinceMs, prewarmAfterMs),
                    plus(idleSinceMs, prewarmUntilMs));
        }

        private static long plus(long baseMs, long offsetMs) {
            return offsetMs == IdlePlan.NEVER ? IdlePlan.NEVER : baseMs + offsetMs;
        }
    }

    /** Returns the cost, in cold-start seconds, of occupying accelerators for a time. */
    static double holdingCost(IdlePrice price, ReplicaCost cost, double heldMs) {
        return heldMs / HOUR_MS * cost.accelerators() * price.coldSecondsPerIdleHour();
    }

    /** Returns the cost of one cold start, in cold-start seconds. */
    static double coldCost(IdlePrice price, ReplicaCost cost) {
        double seconds = cost.reloadMs() / SECOND_MS;
        return seconds * Math.pow(seconds / price.referenceLoadSeconds(), price.tailExponent() - 1);
    }
}

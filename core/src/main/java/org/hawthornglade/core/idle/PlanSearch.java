package org.hawthornglade.core.idle;

import org.hawthornglade.core.idle.HistogramIdlePolicy.Offsets;

/** Finds the plan with the lowest expected cost over a distribution of idle gaps. */
final class PlanSearch {
    // A pre-warming window that opens where hardly any gap ends is never the cheapest.
    private static final double MIN_WINDOW_PROBABILITY = 0.01;

    private final double[] probability;
    private final double[] suffixProbability;
    private final double[] middleMs;
    private final double costPerHeldMs;
    private final ReplicaCost cost;
    private final double coldCost;
    private double bestCost = Double.MAX_VALUE;
    private Offsets best;

    PlanSearch(double[] probability, double[] middleMs, IdlePrice price, ReplicaCost cost) {
        this.probability = probability;
        this.suffixProbability = suffixSums(probability);
        this.middleMs = middleMs;
        this.costPerHeldMs = HistogramIdlePolicy.holdingCost(price, cost, 1);
        this.cost = cost;
        this.coldCost = HistogramIdlePolicy.coldCost(price, cost)
                + HistogramIdlePolicy.holdingCost(price, cost, (double) cost.reloadMs());
    }

    Offsets cheapest(boolean prewarm) {
        // Bin -1 stands for unloading immediately.
        for (int keepBin = -1; keepBin < probability.length; keepBin++) {
            long keepMs = keepBin < 0 ? 0 : GapHistogram.upperMs(keepBin);
            double kept = keptCost(keepBin);
            double tail = probabilityFrom(keepBin + 1);
            consider(kept + tail * (holdingCost(keepMs) + coldCost), keepMs, IdlePlan.NEVER, IdlePlan.NEVER);
            if (prewarm) {
                considerWindows(keepBin, keepMs, kept);
            }
        }
        return best;
    }

    private void considerWindows(int keepBin, long keepMs, double kept) {
        double before = 0;
        for (int from = keepBin + 2; from < probability.length; from++) {
            before += probability[from - 1];
            // The load starts early enough to be complete when the window opens.
            long startMs = GapHistogram.upperMs(from - 1) - cost.reloadMs();
            if (startMs <= keepMs || probability[from] < MIN_WINDOW_PROBABILITY) {
                continue;
            }
            considerEnds(keepMs, kept + before * (holdingCost(keepMs) + coldCost), from, startMs);
        }
    }

    private void considerEnds(long keepMs, double costBefore, int from, long startMs) {
        double inside = 0;
        for (int to = from; to < probability.length; to++) {
            inside += probability[to] * (holdingCost(keepMs) + holdingCost(middleMs[to] - startMs));
            long endMs = GapHistogram.upperMs(to);
            double after = probabilityFrom(to + 1);
            double missed = after * (holdingCost(keepMs) + holdingCost(endMs - startMs) + coldCost);
            consider(costBefore + inside + missed, keepMs, startMs, endMs);
        }
    }

    private void consider(double expectedCost, long keepMs, long prewarmMs, long untilMs) {
        if (expectedCost < bestCost) {
            bestCost = expectedCost;
            best = new Offsets(keepMs, prewarmMs, untilMs);
        }
    }

    private double keptCost(int lastBin) {
        double sum = 0;
        for (int bin = 0; bin <= lastBin; bin++) {
            sum += probability[bin] * holdingCost(middleMs[bin]);
        }
        return sum;
    }

    private double probabilityFrom(int bin) {
        return suffixProbability[bin];
    }

    private static double[] suffixSums(double[] values) {
        double[] sums = new double[values.length + 1];
        for (int i = values.length - 1; i >= 0; i--) {
            sums[i] = sums[i + 1] + values[i];
        }
        return sums;
    }

    private double holdingCost(long heldMs) {
        return holdingCost((double) heldMs);
    }

    private double holdingCost(double heldMs) {
        return heldMs * costPerHeldMs;
    }
}

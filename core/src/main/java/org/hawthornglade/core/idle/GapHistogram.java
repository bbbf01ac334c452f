package org.hawthornglade.core.idle;

/** Counts the idle gaps of a model by length, in bins whose width grows with the length. */
final class GapHistogram {
    static final int BINS = 56;
    private static final double FIRST_EDGE_MS = 1_000;
    private static final double GROWTH = 1.25;

    private static final long[] UPPER_MS = new long[BINS];
    private static final double[] MIDDLE_MS = new double[BINS];

    static {
        for (int bin = 0; bin < BINS; bin++) {
            UPPER_MS[bin] = Math.round(FIRST_EDGE_MS * Math.pow(GROWTH, bin));
            MIDDLE_MS[bin] = bin == 0 ? FIRST_EDGE_MS / 2 : FIRST_EDGE_MS * Math.pow(GROWTH, bin - 0.5);
        }
    }

    private final double[] weights = new double[BINS];
    private double total;

    /** Adds a gap and multiplies the weights of the earlier ones by {@code decay}. */
    void add(long gapMs, double decay) {
        for (int bin = 0; bin < BINS; bin++) {
            weights[bin] *= decay;
        }
        total = total * decay + 1;
        weights[binOf(gapMs)] += 1;
    }

    double weight(int bin) {
        return weights[bin];
    }

    double total() {
        return total;
    }

    static int binOf(long gapMs) {
        if (gapMs <= FIRST_EDGE_MS) {
            return 0;
        }
        int bin = (int) Math.ceil(Math.log(gapMs / FIRST_EDGE_MS) / Math.log(GROWTH));
        return Math.min(BINS - 1, bin);
    }

    /** Returns the upper bound of a bin, in milliseconds. */
    static long upperMs(int bin) {
        return UPPER_MS[bin];
    }

    /** Returns the middle of a bin, in milliseconds. */
    static double middleMs(int bin) {
        return MIDDLE_MS[bin];
    }
}

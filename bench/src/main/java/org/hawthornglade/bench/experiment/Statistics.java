package org.hawthornglade.bench.experiment;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Computes quantiles of small samples. */
final class Statistics {
    private Statistics() {}

    /** Returns the nearest-rank quantile of sorted values; 0 if there are none. */
    static double quantile(double[] sorted, double share) {
        if (sorted.length == 0) {
            return 0;
        }
        int rank = (int) Math.ceil(share * sorted.length);
        return sorted[Math.min(sorted.length - 1, Math.max(0, rank - 1))];
    }

    /** Returns the median, the mean of the two middle values if there are two. */
    static double median(double... values) {
        if (values.length == 0) {
            return 0;
        }
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }

    /** Returns the median of one measure over runs. */
    static <T> double median(List<T> runs, ToDoubleFunction<T> measure) {
        return median(runs.stream().mapToDouble(measure).toArray());
    }

    /** Returns the distance between the lower and the upper quartile of one measure over runs. */
    static <T> double spread(List<T> runs, ToDoubleFunction<T> measure) {
        double[] sorted = runs.stream().mapToDouble(measure).sorted().toArray();
        return quantile(sorted, 0.75) - quantile(sorted, 0.25);
    }
}

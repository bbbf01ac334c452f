package org.hawthornglade.core.chart;

import java.util.List;

/** Thrown at start when a chart file does not describe a sound chart. */
public final class ChartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param chart the chart's name
     * @param faults everything that is wrong with it
     */
    public ChartException(String chart, List<String> faults) {
        super("chart " + chart + ": " + String.join("; ", faults));
    }
}

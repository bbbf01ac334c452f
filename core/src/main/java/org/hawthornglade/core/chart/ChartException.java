package org.hawthornglade.core.chart;

import java.util.List;

/** Thrown at start-up when a chart file is missing or invalid. */
public final class ChartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param chart the chart's name
     * @param errors all errors of the chart
     */
    public ChartException(String chart, List<String> errors) {
        super("chart " + chart + ": " + String.join("; ", errors));
    }
}

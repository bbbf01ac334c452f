package org.hawthornglade.bench.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws results as PNG images. */
final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 600;
    private static final double SECOND_MS = 1_000;

    private Charts() {}

    /** Draws the wait of the slowest cold starts over idle accelerator hours, one point per set of policies. */
    static void waitOverIdleHours(List<Summary> summaries, String title, Path file) throws IOException {
        XYSeriesCollection points = new XYSeriesCollection();
        XYSeries baselines = new XYSeries("baseline, keep-alive varied");
        points.addSeries(baselines);
        for (Summary summary : summaries) {
            double idleHours = summary.median(RunResult::idleAcceleratorHours);
            double waitSeconds = summary.median(RunResult::coldP99Ms) / SECOND_MS;
            if (summary.label().startsWith("baseline-")) {
                baselines.add(idleHours, waitSeconds);
                continue;
            }
            XYSeries point = new XYSeries(summary.label());
            point.add(idleHours, waitSeconds);
            points.addSeries(point);
        }
        write(
                ChartFactory.createScatterPlot(
                        title,
                        "idle accelerator hours",
                        "cold-start wait, p99 (s)",
                        points,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false),
                file);
    }

    /** Draws one measure over a load factor, one line per set of policies. */
    static void overLoad(
            List<LoadPoint> loads, ToDoubleFunction<RunResult> measure, String title, String axis, Path file)
            throws IOException {
        XYSeriesCollection lines = new XYSeriesCollection();
        for (LoadPoint load : loads) {
            String label = load.summary().label();
            if (lines.getSeriesIndex(label) < 0) {
                lines.addSeries(new XYSeries(label));
            }
            lines.getSeries(label).add(load.times(), load.summary().median(measure));
        }
        write(
                ChartFactory.createXYLineChart(
                        title,
                        "requests, times the normal load",
                        axis,
                        lines,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false),
                file);
    }

    private static void write(JFreeChart chart, Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }

    /** The results at one load factor. */
    record LoadPoint(int times, Summary summary) {}
}

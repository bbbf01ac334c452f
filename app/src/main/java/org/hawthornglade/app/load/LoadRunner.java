package org.hawthornglade.app.load;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * Sends each request when it is due, regardless of the outcome of earlier ones, and collects the outcomes.
 *
 * <p>Times are in nanoseconds, since the latency to be measured, that added by the system, is a few milliseconds.
 */
public final class LoadRunner {
    private static final double NANOS_PER_MS = 1e6;

    private final LoadSettings settings;
    private final String runId;
    private final List<FlowStatistics> statistics;
    private final Phaser openRequests = new Phaser(1);
    private long latestSendNanos;

    /**
     * Creates a run.
     *
     * @param runId distinguishes the idempotency keys and prompts of different runs
     */
    public LoadRunner(LoadSettings settings, String runId) {
        this.settings = settings;
        this.runId = runId;
        this.statistics = settings.flows().stream().map(FlowStatistics::new).toList();
    }

    /**
     * Sends all requests, waits for the responses and returns the report.
     *
     * @throws IOException if the execution logs of the plain services cannot be read
     */
    public LoadReport run() throws IOException, InterruptedException {
        RequestPlanner planner = new RequestPlanner(settings, runId);
        List<Arrival> arrivals = ArrivalSchedule.of(settings);
        long startNanos = System.nanoTime();
        LongSupplier runNanos = () -> System.nanoTime() - startNanos;
        try (LoadClient client = new LoadClient(runNanos)) {
            for (Arrival arrival : arrivals) {
                PlannedRequest request = planner.plan(arrival);
                waitUntil(arrival.dueNanos(), runNanos);
                send(client, request, runNanos);
            }
            awaitResponses();
            return report();
        }
    }

    private static void waitUntil(long dueNanos, LongSupplier runNanos) {
        for (long left = dueNanos - runNanos.getAsLong(); left > 0; left = dueNanos - runNanos.getAsLong()) {
            LockSupport.parkNanos(left);
        }
    }

    private void send(LoadClient client, PlannedRequest request, LongSupplier runNanos) {
        Arrival arrival = request.arrival();
        LoadFlow flow = settings.flows().get(arrival.flow());
        FlowStatistics flowStatistics = statistics.get(arrival.flow());
        if (arrival.measured()) {
            flowStatistics.recordSent();
            latestSendNanos = Math.max(latestSendNanos, runNanos.getAsLong() - arrival.dueNanos());
        }
        openRequests.register();
        client.send(request, response -> {
            flowStatistics.recordEnd(request, response, ResponseClassifier.classify(flow, request, response));
            openRequests.arriveAndDeregister();
        });
    }

    /** Waits until all requests have ended, at most for the longest deadline plus the drain time. */
    private void awaitResponses() throws InterruptedException {
        long limitMs = settings.drainMs()
                + settings.flows().stream()
                        .mapToLong(LoadFlow::deadlineMs)
                        .max()
                        .orElse(0);
        try {
            openRequests.awaitAdvanceInterruptibly(openRequests.arrive(), limitMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            // The report counts requests that are still open as unanswered.
        }
    }

    private LoadReport report() throws IOException {
        List<FlowReport> flows = statistics.stream().map(FlowStatistics::report).toList();
        KeyOutcomes keys = statistics.stream()
                .map(FlowStatistics::keyOutcomes)
                .reduce(new KeyOutcomes(java.util.Set.of(), java.util.Set.of()), KeyOutcomes::plus);
        ExecutionReport executions =
                settings.executions().isEmpty() ? null : ExecutionCheck.run(settings.executions(), runId, keys);
        return new LoadReport(
                runId,
                settings.seed(),
                settings.durationMs(),
                latestSendNanos / NANOS_PER_MS,
                flows,
                LoadReport.classes(settings, flows),
                LoadReport.shares(settings, flows),
                executions);
    }
}

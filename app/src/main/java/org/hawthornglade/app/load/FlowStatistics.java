package org.hawthornglade.app.load;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the outcomes of the requests of one flow; latencies count from when a request was due. */
final class FlowStatistics {
    private static final long HIGHEST_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MS = 1_000_000;

    private final LoadFlow flow;
    private final Histogram firstByteMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram wholeMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private final Map<Integer, Integer> refusals = new TreeMap<>();
    private final Map<String, Integer> details = new TreeMap<>();
    private final Set<String> answeredKeys = new HashSet<>();
    private final Set<String> notRunKeys = new HashSet<>();
    private int sent;
    private int whole;
    private int onTime;
    private int wrong;
    private int lost;

    FlowStatistics(LoadFlow flow) {
        this.flow = flow;
    }

    synchronized void recordSent() {
        sent++;
    }

    synchronized void recordEnd(PlannedRequest request, CollectedResponse response, Verdict verdict) {
        recordKey(request, verdict);
        if (!request.arrival().measured()) {
            return;
        }
        switch (verdict.kind()) {
            case WHOLE -> recordWhole(request, response);
            case WRONG -> wrong++;
            case LOST -> lost++;
            case REFUSED -> refusals.merge(verdict.code(), 1, Integer::sum);
            default -> throw new IllegalStateException("unknown verdict: " + verdict);
        }
        if (!verdict.detail().isEmpty()) {
            details.merge(verdict.kind() + ": " + verdict.detail(), 1, Integer::sum);
        }
    }

    private void recordKey(PlannedRequest request, Verdict verdict) {
        if (request.idempotencyKey() == null) {
            return;
        }
        if (verdict.kind() == Verdict.Kind.WHOLE) {
            answeredKeys.add(request.idempotencyKey());
        }
        if (verdict.reportedNotRun()) {
            notRunKeys.add(request.idempotencyKey());
        }
    }

    private void recordWhole(PlannedRequest request, CollectedResponse response) {
        whole++;
        long dueNanos = request.arrival().dueNanos();
        recordMicros(wholeMicros, response.endNanos() - dueNanos);
        recordMicros(firstByteMicros, response.firstByteNanos() - dueNanos);
        if (response.endNanos() - dueNanos <= flow.deadlineMs() * NANOS_PER_MS) {
            onTime++;
        }
    }

    private static void recordMicros(Histogram histogram, long nanos) {
        histogram.recordValue(Math.min(HIGHEST_MICROS, Math.max(0, nanos) / NANOS_PER_MICRO));
    }

    /** Returns the idempotency keys of the calls with a complete response and of those reported as not run. */
    synchronized KeyOutcomes keyOutcomes() {
        return new KeyOutcomes(Set.copyOf(answeredKeys), Set.copyOf(notRunKeys));
    }

    synchronized FlowReport report() {
        return new FlowReport(
                flow.name(),
                flow.serviceClass(),
                sent,
                whole,
                onTime,
                wrong,
                lost,
                sent
                        - whole
                        - wrong
                        - lost
                        - refusals.values().stream().mapToInt(i -> i).sum(),
                new TreeMap<>(refusals),
                Latencies.of(firstByteMicros),
                Latencies.of(wholeMicros),
                new TreeMap<>(details));
    }
}

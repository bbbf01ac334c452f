package org.hawthornglade.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hawthornglade.core.admission.WaitingRequest;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.result.ResultCode;

/** Collects the measurements of one run. */
final class Measures {
    private static final double HOUR_MS = 3_600_000;
    private static final long RECOVERY_MS = 30_000;
    private static final long AFTER_MS = 30 * 60_000;

    private final Trace trace;
    private final Fault fault;
    private final Map<ServiceClass, Double> weights = new HashMap<>();
    private final Map<ModelName, Long> openColdStarts = new HashMap<>();
    private final List<Double> coldWaitsMs = new ArrayList<>();
    private final Share all = new Share();
    private final Share during = new Share();
    private final Share after = new Share();
    private int requests;
    private int refused;
    private int late;
    private int unusedLoads;
    private int evictions;
    private int prefixHits;
    private int prefixes;
    private double idleMs;
    private Consumer<WaitingRequest> observer = request -> {};

    Measures(Trace trace, Fault fault) {
        this.trace = trace;
        this.fault = fault;
        for (ClassSpec spec : trace.deployment().classes()) {
            weights.put(spec.name(), spec.weight());
        }
    }

    private boolean counts(long atMs) {
        return atMs >= trace.measureFromMs();
    }

    void arrived(TraceRequest request, boolean ready) {
        long nowMs = request.arrivedAtMs();
        if (!ready) {
            openColdStarts.putIfAbsent(request.request().model(), nowMs);
        }
        // Requests with a deadline after the end of the trace are not counted, as it leaves no time to answer them.
        if (counts(nowMs) && request.request().deadlineAtMs() < trace.endMs()) {
            requests++;
        }
    }

    void ready(ModelName model, long nowMs) {
        Long since = openColdStarts.remove(model);
        if (since != null && counts(since)) {
            coldWaitsMs.add((double) (nowMs - since));
        }
    }

    void completed(TraceRequest request, long nowMs) {
        boolean onTime = nowMs <= request.request().deadlineAtMs();
        if (!onTime && counts(request.arrivedAtMs())) {
            late++;
        }
        outcome(request, onTime);
    }

    void refused(TraceRequest request, ResultCode code, long nowMs) {
        if (counts(request.arrivedAtMs())) {
            refused++;
        }
        outcome(request, false);
    }

    /** Sets an observer that receives the request of each outcome. */
    void observe(Consumer<WaitingRequest> newObserver) {
        observer = newObserver;
    }

    private void outcome(TraceRequest request, boolean onTime) {
        observer.accept(request.request());
        double weight = weights.get(request.request().serviceClass());
        long atMs = request.arrivedAtMs();
        if (counts(atMs)) {
            all.add(weight, onTime);
        }
        if (atMs >= fault.startMs(trace) && atMs < fault.endMs(trace)) {
            during.add(weight, onTime);
        }
        long normalMs = fault.endMs(trace) + RECOVERY_MS;
        if (atMs >= normalMs && atMs < normalMs + AFTER_MS) {
            after.add(weight, onTime);
        }
    }

    /** Adds the time since the last call during which a replica was loaded and idle. */
    void idle(ReplicaModel replica, long nowMs) {
        long fromMs = Math.max(replica.idleAccountedMs, trace.measureFromMs());
        if (nowMs > fromMs) {
            idleMs += (double) (nowMs - fromMs) * replica.model.spec().accelerators();
        }
        replica.idleAccountedMs = nowMs;
    }

    void unloaded(ReplicaModel replica, long nowMs) {
        if (counts(nowMs) && replica.servedSinceLoad == 0 && !replica.prewarmed) {
            unusedLoads++;
        }
    }

    void evicted(int count, long nowMs) {
        if (counts(nowMs)) {
            evictions += count;
        }
    }

    void prefix(boolean hit, long nowMs) {
        if (counts(nowMs)) {
            prefixes++;
            prefixHits += hit ? 1 : 0;
        }
    }

    RunResult result(String policy, long endMs) {
        openColdStarts.forEach((model, since) -> {
            if (counts(since)) {
                coldWaitsMs.add((double) (endMs - since));
            }
        });
        double[] sorted =
                coldWaitsMs.stream().mapToDouble(wait -> wait).sorted().toArray();
        double sumMs = coldWaitsMs.stream().mapToDouble(wait -> wait).sum();
        double faultSeconds = Math.max(1, fault.endMs(trace) - fault.startMs(trace)) / 1_000.0;
        return new RunResult(
                policy,
                trace.deployment().name(),
                trace.seed(),
                fault,
                requests,
                sorted.length,
                Statistics.quantile(sorted, 0.5),
                Statistics.quantile(sorted, 0.99),
                Statistics.quantile(sorted, 1),
                sumMs,
                all.value(),
                idleMs / HOUR_MS,
                refused,
                late,
                unusedLoads,
                evictions,
                prefixes == 0 ? 0 : (double) prefixHits / prefixes,
                during.value(),
                after.value(),
                during.good / faultSeconds);
    }

    /** A weighted share of requests. */
    private static final class Share {
        private double good;
        private double total;

        void add(double weight, boolean isGood) {
            total += weight;
            good += isGood ? weight : 0;
        }

        double value() {
            return total == 0 ? 1 : good / total;
        }
    }
}

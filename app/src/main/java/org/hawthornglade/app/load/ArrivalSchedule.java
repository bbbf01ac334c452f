package org.hawthornglade.app.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Generates the times when requests are due; they depend on the settings only, not on the outcome of requests. */
final class ArrivalSchedule {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MS = 1_000_000;

    private ArrivalSchedule() {}

    /** Returns the arrivals of all flows of a run, ordered by due time. */
    static List<Arrival> of(LoadSettings settings) {
        SplittableRandom random = new SplittableRandom(settings.seed());
        List<Arrival> all = new ArrayList<>();
        for (int i = 0; i < settings.flows().size(); i++) {
            all.addAll(flowArrivals(settings, i, random.split()));
        }
        all.sort(Comparator.comparingLong(Arrival::dueNanos)
                .thenComparingInt(Arrival::flow)
                .thenComparingInt(Arrival::sequence));
        return all;
    }

    private static List<Arrival> flowArrivals(LoadSettings settings, int index, SplittableRandom random) {
        LoadFlow flow = settings.flows().get(index);
        long warmupNanos = settings.warmupMs() * NANOS_PER_MS;
        List<Long> times = new ArrayList<>();
        long endNanos = warmupNanos + settings.durationMs() * NANOS_PER_MS;
        addPoisson(times, flow, endNanos, random);
        addBursts(times, flow, endNanos);
        times.sort(null);
        int models = Math.max(1, flow.models().size());
        List<Arrival> arrivals = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            long dueNanos = times.get(i);
            arrivals.add(new Arrival(dueNanos, index, i, random.nextInt(models), dueNanos >= warmupNanos));
        }
        return arrivals;
    }

    /** Adds a Poisson process: the gaps between requests of independent callers are exponentially distributed. */
    private static void addPoisson(List<Long> times, LoadFlow flow, long endNanos, SplittableRandom random) {
        if (flow.ratePerSecond() <= 0) {
            return;
        }
        double dueNanos = 0;
        while (true) {
            dueNanos += -Math.log(1 - random.nextDouble()) / flow.ratePerSecond() * NANOS_PER_SECOND;
            if (dueNanos >= endNanos) {
                return;
            }
            times.add((long) dueNanos);
        }
    }

    private static void addBursts(List<Long> times, LoadFlow flow, long endNanos) {
        if (flow.burstEveryMs() <= 0) {
            return;
        }
        long intervalNanos = flow.burstEveryMs() * NANOS_PER_MS;
        for (long dueNanos = 0; dueNanos < endNanos; dueNanos += intervalNanos) {
            for (int i = 0; i < flow.burstRequests(); i++) {
                times.add(dueNanos);
            }
        }
    }
}

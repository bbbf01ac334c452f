package org.hawthornglade.app.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws when requests are due; the same settings give the same times, whatever becomes of the requests. */
final class ArrivalSchedule {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MS = 1_000_000;

    private ArrivalSchedule() {}

    /** Returns all requests of a run, in the order of their times. */
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
            long atNanos = times.get(i);
            arrivals.add(new Arrival(atNanos, index, i, random.nextInt(models), atNanos >= warmupNanos));
        }
        return arrivals;
    }

    /** Gaps between independent callers are exponentially distributed. */
    private static void addPoisson(List<Long> times, LoadFlow flow, long endNanos, SplittableRandom random) {
        if (flow.ratePerSecond() <= 0) {
            return;
        }
        double atNanos = 0;
        while (true) {
            atNanos += -Math.log(1 - random.nextDouble()) / flow.ratePerSecond() * NANOS_PER_SECOND;
            if (atNanos >= endNanos) {
                return;
            }
            times.add((long) atNanos);
        }
    }

    private static void addBursts(List<Long> times, LoadFlow flow, long endNanos) {
        if (flow.burstEveryMs() <= 0) {
            return;
        }
        long everyNanos = flow.burstEveryMs() * NANOS_PER_MS;
        for (long atNanos = 0; atNanos < endNanos; atNanos += everyNanos) {
            for (int i = 0; i < flow.burstRequests(); i++) {
                times.add(atNanos);
            }
        }
    }
}

package org.hawthornglade.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.InstanceId;

/** Checks from the requests that endpoints received whether entries followed the endpoints' notices. */
final class RuleChecker {
    /** The time after a limit is first advertised, or changed, before it is checked, in milliseconds. */
    private static final long STABLE_MS = 3_000;
    /** The window in which requests at a limited endpoint are counted, in milliseconds. */
    private static final long WINDOW_MS = 4_000;
    /** The multiple of its limit that an endpoint may receive within a window, besides {@link #ALLOWANCE}. */
    private static final double ALLOWED_RATIO = 1.5;

    private static final int ALLOWANCE = 5;
    /** An entry counts as notified this long after it has relayed an answer with the notice, in milliseconds. */
    private static final long NOTIFICATION_DELAY_MS = 500;
    /** Requests that callers send more than this time after the notice must not reach a leaving endpoint, in ms. */
    private static final long DRAIN_GRACE_MS = 2_000;
    /** The number of requests from one entry that may reach an endpoint during one of its retry-after pauses. */
    private static final int PAUSE_ALLOWANCE = 2;

    private record Arrival(int entry, long atMs) {}

    private record EndpointKey(InstanceId endpoint, int entry) {}

    /** A second of the run in which calls for an endpoint waited, counted from its start. */
    private record DemandSecond(InstanceId endpoint, long second) {
        private static DemandSecond of(InstanceId endpoint, long atMs) {
            return new DemandSecond(endpoint, atMs / 1_000);
        }
    }

    /** A retry-after pause of an endpoint and the requests that it received meanwhile from one entry. */
    private static final class PausePeriod {
        private final Span span;
        private int arrivals;

        PausePeriod(Span span) {
            this.span = span;
        }

        boolean recordAndCheck(long atMs) {
            return span.contains(atMs) && ++arrivals > PAUSE_ALLOWANCE;
        }
    }

    private final Map<InstanceId, EmulatedEndpoint> endpoints = new HashMap<>();
    private final Map<InstanceId, List<Arrival>> arrivals = new HashMap<>();
    private final Map<LimitPeriod, Long> firstAdvertisedMs = new HashMap<>();
    private final Map<EndpointKey, Long> limitNotifiedMs = new HashMap<>();
    private final Map<EndpointKey, Long> leavingNotifiedMs = new HashMap<>();
    private final Map<EndpointKey, List<PausePeriod>> pausePeriods = new HashMap<>();
    private final Map<Integer, List<Span>> exemptions = new HashMap<>();
    private final Set<DemandSecond> demandSeconds = new HashSet<>();
    private int limitBreaks;
    private int drainBreaks;
    private int budgetBreaks;

    void addEndpoint(EmulatedEndpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
    }

    /**
     * Exempts an entry for the time of its restart or pause. Notices of leaving and retry-after pauses that it received
     * before no longer bind it afterwards; limits do.
     */
    void exempt(int entry, Span span) {
        leavingNotifiedMs.keySet().removeIf(key -> key.entry() == entry);
        pausePeriods.keySet().removeIf(key -> key.entry() == entry);
        exemptions.computeIfAbsent(entry, key -> new ArrayList<>()).add(span);
    }

    private boolean isExempt(int entry, long atMs) {
        return exemptions.getOrDefault(entry, List.of()).stream().anyMatch(span -> span.contains(atMs));
    }

    /** Records that an entry has relayed the head of an answer. */
    void onRelayed(EmulatedEndpoint endpoint, int entry, Answer answer, long answeredAtMs, long nowMs) {
        EndpointKey key = new EndpointKey(endpoint.id(), entry);
        if (answer.limitPerSecond().isPresent()) {
            limitNotifiedMs.putIfAbsent(key, nowMs);
        }
        if (answer.leaving()) {
            leavingNotifiedMs.putIfAbsent(key, nowMs);
        }
        if (answer.pauseMs() > 0) {
            Span span = new Span(answeredAtMs + NOTIFICATION_DELAY_MS, answeredAtMs + answer.pauseMs());
            pausePeriods.computeIfAbsent(key, absent -> new ArrayList<>()).add(new PausePeriod(span));
        }
    }

    /**
     * Records that a request has reached an endpoint, and checks it against the rules.
     *
     * @param callerSentMs when the caller sent it to the entry
     */
    void onArrival(EmulatedEndpoint endpoint, int entry, long callerSentMs, long nowMs) {
        EndpointKey key = new EndpointKey(endpoint.id(), entry);
        arrivals.computeIfAbsent(endpoint.id(), id -> new ArrayList<>()).add(new Arrival(entry, nowMs));
        if (isExempt(entry, nowMs)) {
            return;
        }
        if (callerSentMs > leavingNotifiedMs.getOrDefault(key, Long.MAX_VALUE - DRAIN_GRACE_MS) + DRAIN_GRACE_MS) {
            drainBreaks++;
        }
        for (PausePeriod pause : pausePeriods.getOrDefault(key, List.of())) {
            if (pause.recordAndCheck(nowMs)) {
                budgetBreaks++;
            }
        }
        checkLimit(endpoint, nowMs);
    }

    private void checkLimit(EmulatedEndpoint endpoint, long nowMs) {
        for (LimitPeriod limit : endpoint.limits()) {
            if (!limit.span().contains(nowMs)) {
                continue;
            }
            long firstMs = firstAdvertisedMs.computeIfAbsent(limit, key -> nowMs);
            boolean settled = nowMs - WINDOW_MS >= firstMs + STABLE_MS;
            double allowed = ALLOWED_RATIO * limit.perSecond() * WINDOW_MS / 1_000 + ALLOWANCE;
            if (settled && countNotifiedRequests(endpoint.id(), nowMs) > allowed) {
                limitBreaks++;
            }
        }
    }

    private long countNotifiedRequests(InstanceId endpoint, long nowMs) {
        return arrivals.get(endpoint).stream()
                .filter(arrival -> arrival.atMs() > nowMs - WINDOW_MS)
                .filter(arrival -> !isExempt(arrival.entry(), arrival.atMs()))
                .filter(arrival -> isNotified(endpoint, arrival))
                .count();
    }

    private boolean isNotified(InstanceId endpoint, Arrival arrival) {
        Long atMs = limitNotifiedMs.get(new EndpointKey(endpoint, arrival.entry()));
        return atMs != null && atMs + NOTIFICATION_DELAY_MS <= arrival.atMs();
    }

    /** Records that a call could have been served at an endpoint. */
    void onDemand(InstanceId endpoint, long nowMs) {
        demandSeconds.add(DemandSecond.of(endpoint, nowMs));
    }

    /** Returns the requests at limited endpoints in the seconds with calls for them, as a share of their limits. */
    double limitUse() {
        double received = 0;
        double limits = 0;
        for (EmulatedEndpoint endpoint : endpoints.values()) {
            for (LimitPeriod limit : endpoint.limits()) {
                long fromMs = limit.span().fromMs() + STABLE_MS;
                for (long atMs = fromMs; atMs + 1_000 <= limit.span().toMs(); atMs += 1_000) {
                    if (demandSeconds.contains(DemandSecond.of(endpoint.id(), atMs))) {
                        limits += limit.perSecond();
                        received += arrivals(endpoint.id(), new Span(atMs, atMs + 1_000));
                    }
                }
            }
        }
        return limits == 0 ? 0 : received / limits;
    }

    private long arrivals(InstanceId endpoint, Span span) {
        return arrivals.getOrDefault(endpoint, List.of()).stream()
                .filter(arrival -> span.contains(arrival.atMs()))
                .count();
    }

    int limitBreaks() {
        return limitBreaks;
    }

    int drainBreaks() {
        return drainBreaks;
    }

    int budgetBreaks() {
        return budgetBreaks;
    }
}

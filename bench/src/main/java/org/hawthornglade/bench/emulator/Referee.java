package org.hawthornglade.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.InstanceId;

/** Judges by what endpoints received, and from whom, whether their words were heeded. */
final class Referee {
    /** An endpoint's first naming of a limit, or a change of it, counts after this time. */
    private static final long STABLE_MS = 3_000;
    /** The window in which requests at a limited endpoint are counted. */
    private static final long WINDOW_MS = 4_000;
    /** How many times its limit an endpoint may get within a window, besides {@link #ALLOWANCE}. */
    private static final double ALLOWED_RATIO = 1.5;

    private static final int ALLOWANCE = 5;
    /** An entry counts as told this long after it has passed on an answer that says it. */
    private static final long TOLD_AFTER_MS = 500;
    /** Requests that callers send later than this after the word must not reach a leaving endpoint. */
    private static final long DRAIN_MS = 2_000;
    /** So many requests from one entry may reach an endpoint while it wants nothing. */
    private static final int SHUT_ALLOWANCE = 2;

    private record Arrival(int entry, long atMs) {}

    private record Told(InstanceId endpoint, int entry) {}

    /** A time for which an endpoint wanted nothing, and what it got meanwhile from one entry. */
    private static final class Shut {
        private final Span span;
        private int arrivals;

        Shut(Span span) {
            this.span = span;
        }

        boolean over(long atMs) {
            return span.has(atMs) && ++arrivals > SHUT_ALLOWANCE;
        }
    }

    private final Map<InstanceId, EmulatedEndpoint> endpoints = new HashMap<>();
    private final Map<InstanceId, List<Arrival>> arrivals = new HashMap<>();
    private final Map<NamedLimit, Long> firstNamedMs = new HashMap<>();
    private final Map<Told, Long> toldLimitMs = new HashMap<>();
    private final Map<Told, Long> toldLeavingMs = new HashMap<>();
    private final Map<Told, List<Shut>> shut = new HashMap<>();
    private final Map<Integer, List<Span>> excused = new HashMap<>();
    private final Set<Told> wanted = new HashSet<>();
    private int limitBreaks;
    private int drainBreaks;
    private int budgetBreaks;

    void judges(EmulatedEndpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
    }

    /**
     * Leaves an entry out for the time of a restart or pause of it. What endpoints had told it of leaving, or of
     * wanting nothing, no longer binds it afterwards; limits do.
     */
    void excuse(int entry, Span span) {
        toldLeavingMs.keySet().removeIf(told -> told.entry() == entry);
        shut.keySet().removeIf(told -> told.entry() == entry);
        excused.computeIfAbsent(entry, key -> new ArrayList<>()).add(span);
    }

    private boolean excused(int entry, long atMs) {
        return excused.getOrDefault(entry, List.of()).stream().anyMatch(span -> span.has(atMs));
    }

    /** Takes note that an entry has passed on the head of an answer. */
    void passedOn(EmulatedEndpoint endpoint, int entry, Answer answer, long answeredAtMs, long nowMs) {
        Told told = new Told(endpoint.id(), entry);
        if (answer.limitPerSecond().isPresent()) {
            toldLimitMs.putIfAbsent(told, nowMs);
        }
        if (answer.leaving()) {
            toldLeavingMs.putIfAbsent(told, nowMs);
        }
        if (answer.shutMs() > 0) {
            Span span = new Span(answeredAtMs + TOLD_AFTER_MS, answeredAtMs + answer.shutMs());
            shut.computeIfAbsent(told, key -> new ArrayList<>()).add(new Shut(span));
        }
    }

    /**
     * Takes note that a request has reached an endpoint.
     *
     * @param callerSentMs when the caller sent it to the entry
     */
    void arrived(EmulatedEndpoint endpoint, int entry, long callerSentMs, long nowMs) {
        Told told = new Told(endpoint.id(), entry);
        arrivals.computeIfAbsent(endpoint.id(), id -> new ArrayList<>()).add(new Arrival(entry, nowMs));
        if (excused(entry, nowMs)) {
            return;
        }
        if (callerSentMs > toldLeavingMs.getOrDefault(told, Long.MAX_VALUE - DRAIN_MS) + DRAIN_MS) {
            drainBreaks++;
        }
        for (Shut each : shut.getOrDefault(told, List.of())) {
            if (each.over(nowMs)) {
                budgetBreaks++;
            }
        }
        judgeLimit(endpoint, nowMs);
    }

    private void judgeLimit(EmulatedEndpoint endpoint, long nowMs) {
        for (NamedLimit limit : endpoint.limits()) {
            if (!limit.span().has(nowMs)) {
                continue;
            }
            long firstMs = firstNamedMs.computeIfAbsent(limit, key -> nowMs);
            boolean counts = nowMs - WINDOW_MS >= firstMs + STABLE_MS;
            double allowed = ALLOWED_RATIO * limit.perSecond() * WINDOW_MS / 1_000 + ALLOWANCE;
            if (counts && toldRequests(endpoint.id(), nowMs) > allowed) {
                limitBreaks++;
            }
        }
    }

    private long toldRequests(InstanceId endpoint, long nowMs) {
        return arrivals.get(endpoint).stream()
                .filter(arrival -> arrival.atMs() > nowMs - WINDOW_MS)
                .filter(arrival -> !excused(arrival.entry(), arrival.atMs()))
                .filter(arrival -> told(endpoint, arrival))
                .count();
    }

    private boolean told(InstanceId endpoint, Arrival arrival) {
        Long atMs = toldLimitMs.get(new Told(endpoint, arrival.entry()));
        return atMs != null && atMs + TOLD_AFTER_MS <= arrival.atMs();
    }

    /** Takes note that a call could have been served at an endpoint. */
    void couldUse(InstanceId endpoint, long nowMs) {
        wanted.add(new Told(endpoint, (int) (nowMs / 1_000)));
    }

    /** Returns what limited endpoints got in the seconds in which calls could use them, as a share of their limits. */
    double limitUse() {
        double got = 0;
        double limits = 0;
        for (EmulatedEndpoint endpoint : endpoints.values()) {
            for (NamedLimit limit : endpoint.limits()) {
                long fromMs = limit.span().fromMs() + STABLE_MS;
                for (long atMs = fromMs; atMs + 1_000 <= limit.span().toMs(); atMs += 1_000) {
                    if (wanted.contains(new Told(endpoint.id(), (int) (atMs / 1_000)))) {
                        limits += limit.perSecond();
                        got += arrivals(endpoint.id(), new Span(atMs, atMs + 1_000));
                    }
                }
            }
        }
        return limits == 0 ? 0 : got / limits;
    }

    private long arrivals(InstanceId endpoint, Span span) {
        return arrivals.getOrDefault(endpoint, List.of()).stream()
                .filter(arrival -> span.has(arrival.atMs()))
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

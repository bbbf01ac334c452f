package org.hawthornglade.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.pace.PacingRules;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.core.time.ManualClock;

/** Plays entries that share one server in virtual time, each with the selectors of the product. */
final class PacedSite {
    static final int SLOTS = 64;
    static final double WORK_MS = 200;
    private static final int STEP_MS = 10;
    private static final long REPORT_MS = 300;
    private static final long RECONSIDER_MS = 50;
    private static final double START_MS = 20;
    private static final Route ROUTE =
            new Route("r", "h.example", "/r/", CallKind.SAFE, 60_000, 800, 500, 60_000, 2, 0, false, List.of());

    /** Which rule the entries choose by. */
    enum Rule {
        PREVIOUS,
        FIXED_SLOW_START,
        ADAPTIVE
    }

    private static final class RunningCall {
        private final Entry entry;
        private final CallView view;
        private final long sentAtMs;
        private final int inFlight;
        private final int own;
        private double leftMs = WORK_MS;

        RunningCall(Entry entry, CallView view, long sentAtMs, int inFlight, int own) {
            this.entry = entry;
            this.view = view;
            this.sentAtMs = sentAtMs;
            this.inFlight = inFlight;
            this.own = own;
        }
    }

    private final class Entry {
        private final Fleet fleet = new Fleet();
        private final Deque<CallView> waiting = new ArrayDeque<>();
        private final Pacing pacing;
        private final EndpointSelector selector;

        Entry(int entries) {
            fleet.onSnapshot(List.of(Records.ready("a", List.of(), List.of())), 0);
            pacing = new Pacing(
                    new PacingRules(rule == Rule.ADAPTIVE, rule == Rule.ADAPTIVE, false),
                    () -> entries,
                    new Random(random.nextLong()));
            selector = new LeastLoadedSelector(Records.DOMAIN, pacing);
        }

        Endpoint endpoint() {
            return fleet.endpoint(InstanceId.of("a")).orElseThrow();
        }

        void decide(CallView view, long nowMs) {
            boolean held = rule == Rule.FIXED_SLOW_START && endpoint().load().ownRequests() >= slowStartCalls(nowMs);
            Decision decision =
                    held ? new Decision.Wait("slots") : selector.select(view, fleet.usable(Records.SERVICE), nowMs);
            if (!(decision instanceof Decision.Send)) {
                waiting.add(view);
                waited++;
                return;
            }
            endpoint().load().begin(Optional.empty(), 0, 0);
            endpoint().pace().onStarted();
            running.add(new RunningCall(
                    this,
                    view,
                    nowMs,
                    endpoint().load().requests(nowMs),
                    endpoint().load().ownRequests()));
        }

        void decideWaiting(long nowMs) {
            int count = waiting.size();
            for (int i = 0; i < count; i++) {
                int before = waiting.size();
                decide(waiting.poll(), nowMs);
                if (waiting.size() == before) {
                    return;
                }
            }
        }

        void onCompleted(RunningCall call, long nowMs) {
            WorkKind kind = WorkKind.plain(call.view);
            double measuredMs = (double) (nowMs - call.sentAtMs);
            double usualMs = START_MS * pacing.usualTimes().factor(kind);
            pacing.usualTimes().onResponse(kind, measuredMs, START_MS);
            if (statesSlowdown) {
                endpoint().pace().stated().onStated(1 / speed.applyAsDouble(nowMs), nowMs);
            }
            endpoint().pace().onResponse(kind, measuredMs, usualMs, call.inFlight, call.own, nowMs);
            endpoint().load().end(Optional.empty(), 0);
            endpoint().pace().onEnded();
            endpoint().load().updateOthers(running.size() - endpoint().load().ownRequests(), nowMs);
        }
    }

    private final Rule rule;
    private final Random random;
    private final LongToDoubleFunction speed;
    private final boolean statesSlowdown;
    private final ManualClock clock = new ManualClock(0);
    private final List<Entry> entries = new ArrayList<>();
    private final List<RunningCall> running = new ArrayList<>();
    private int peak;
    private int waited;
    private int completed;
    private long idleMs;
    private long fullAtMs = -1;
    private long startMs;

    /**
     * Creates a site.
     *
     * @param speed the server's speed at each time, relative to 1
     * @param statesSlowdown whether responses state it
     */
    PacedSite(Rule rule, int entryCount, LongToDoubleFunction speed, boolean statesSlowdown, long seed) {
        this.rule = rule;
        this.random = new Random(seed);
        this.speed = speed;
        this.statesSlowdown = statesSlowdown;
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(entryCount));
        }
    }

    /** Time over which the fixed slow-start opens the server to all entries. */
    private double slowStartCalls(long nowMs) {
        double opened = SLOTS * Math.min(1, (nowMs - startMs) / 8_000.0);
        return Math.max(1, opened / entries.size());
    }

    private CallView call() {
        long nowMs = clock.nowMs();
        return new CallView(Records.SERVICE, ROUTE, Optional.empty(), nowMs, nowMs + 60_000);
    }

    /** Adds calls that have waited for the server, at random entries. */
    void addWaiting(int calls) {
        for (int i = 0; i < calls; i++) {
            entries.get(random.nextInt(entries.size())).waiting.add(call());
        }
        clock.advance(STEP_MS + 1);
    }

    /** Loses all running calls, as in a crash; their callers come again. */
    void crash() {
        for (RunningCall call : running) {
            call.entry.endpoint().load().end(Optional.empty(), 0);
            call.entry.waiting.add(call.view);
        }
        running.clear();
        long nowMs = clock.nowMs();
        for (Entry entry : entries) {
            entry.endpoint().load().updateOthers(0, nowMs);
            entry.endpoint().pace().restart();
        }
        startMs = nowMs;
    }

    /** Starts the counts anew. */
    void resetCounts() {
        peak = 0;
        completed = 0;
        idleMs = 0;
        fullAtMs = -1;
    }

    /** Plays a time with calls that arrive at random entries. */
    void play(long durationMs, double callsPerS) {
        long endMs = clock.nowMs() + durationMs;
        while (clock.nowMs() < endMs) {
            long nowMs = clock.nowMs();
            report(nowMs);
            if (random.nextDouble() < callsPerS * STEP_MS / 1_000) {
                Entry entry = entries.get(random.nextInt(entries.size()));
                entry.decide(call(), nowMs);
            }
            entries.forEach(entry -> {
                if (nowMs % RECONSIDER_MS < STEP_MS) {
                    entry.decideWaiting(nowMs);
                }
            });
            work(nowMs);
            count(nowMs);
            clock.advance(STEP_MS);
        }
    }

    private void report(long nowMs) {
        if (nowMs % REPORT_MS >= STEP_MS) {
            return;
        }
        for (Entry entry : entries) {
            entry.endpoint()
                    .load()
                    .updateOthers(running.size() - entry.endpoint().load().ownRequests(), nowMs);
        }
    }

    /** Calls beyond the slots wait at the server; those that run slow each other down a little. */
    private void work(long nowMs) {
        int inWork = Math.min(SLOTS, running.size());
        double doneMs = STEP_MS * speed.applyAsDouble(nowMs) / (1 + inWork / 128.0);
        List<RunningCall> ended = new ArrayList<>();
        for (int i = 0; i < inWork; i++) {
            RunningCall call = running.get(i);
            call.leftMs -= doneMs;
            if (call.leftMs <= 0) {
                ended.add(call);
            }
        }
        running.removeAll(ended);
        for (RunningCall call : ended) {
            completed++;
            call.entry.onCompleted(call, nowMs);
            call.entry.decideWaiting(nowMs);
        }
    }

    private void count(long nowMs) {
        peak = Math.max(peak, running.size());
        boolean waits = entries.stream().anyMatch(entry -> !entry.waiting.isEmpty());
        if (running.isEmpty() && waits) {
            idleMs += STEP_MS;
        }
        if (fullAtMs < 0 && running.size() >= 0.8 * SLOTS) {
            fullAtMs = nowMs;
        }
    }

    /** Returns the most calls at the server. */
    int peak() {
        return peak;
    }

    int completed() {
        return completed;
    }

    /** Returns how long the server had nothing to do while calls waited. */
    long idleMs() {
        return idleMs;
    }

    /** Returns when four fifths of the slots were in use first; negative if never. */
    long fullAtMs() {
        return fullAtMs;
    }

    /** Returns how often a call was not sent at once. */
    int waited() {
        return waited;
    }

    /** Returns the median of the entries' limits. */
    double medianLimit() {
        double[] limits = entries.stream()
                .mapToDouble(entry -> entry.endpoint().pace().limit().calls())
                .sorted()
                .toArray();
        return limits[limits.length / 2];
    }
}

package org.hawthornglade.core.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.team.TeamQuota;

/** One team's requests at several entries in virtual time, with messages that take a time and may be lost. */
final class QuotaSimulation {
    static final long STEP_MS = 5;
    static final TeamName TEAM = TeamName.of("t");
    private static final long ONE_WAY_MS = 3;
    private static final long REPORT_MS = 250;
    private static final long RENEWAL_MS = 600;
    private static final long WRITE_MS = 10;
    private static final long ASK_LIMIT_MS = 60;
    private static final double LARGE_UNITS = 9_250;
    private static final double MAX_UNITS = 39_000;
    private static final double SPREAD = 0.6;
    private static final long NO_ANSWER_MS = 300;

    /** Returns the team's demand in units per second at an entry. */
    interface Demand {
        double unitsPerS(int entry, long nowMs);
    }

    private record Message(long atMs, long order, Runnable action) {}

    private record Ask(double units, long atMs, boolean again) {}

    /** An entry: its client and the requests that wait for an answer. */
    private static final class Entry {
        private QuotaClient client;
        private String name;
        private String nextName;
        private boolean running = true;
        private long reportedAtMs;
        private double requestsDue;
        private double nextRequest;
        private final Deque<Ask> asks = new ArrayDeque<>();
    }

    /** A leader. */
    private record Leader(QuotaAllocator allocator, int entry, long term) {}

    private final Random random;
    private final QuotaTolerance tolerance;
    private final List<Entry> entries = new ArrayList<>();
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingLong(Message::atMs).thenComparingLong(Message::order));
    private final double largeShare;
    private TeamQuota quota;
    private final List<Optional<Leader>> followed = new ArrayList<>();
    private long nowMs;
    private long order;
    private long run;
    /** Units admitted in each step. */
    final List<Double> admitted = new ArrayList<>();
    /** Units requested in each step. */
    final List<Double> requested = new ArrayList<>();
    /** Units refused in each step. */
    final List<Double> refused = new ArrayList<>();
    /** Whether a caller that was refused sends the request once more after the time that it was told. */
    boolean callersReturn;
    /** Whether leaders take into account the callers that they have told to come back. */
    boolean countsRefused = true;
    /** Requests that were sent once more. */
    long returns;
    /** Requests that were sent once more and refused again. */
    long refusedAgain;
    /** The sum of the times that refused callers were told. */
    long toldMsSum;

    /** Whether the sizes of large requests differ. */
    boolean spread;

    double smallUnits;

    /** What the lease row has on the entries that may hold shares. */
    String record = "";

    private Optional<Leader> writer = Optional.empty();
    /** Messages of entries to the leader. */
    long reports;

    BiPredicate<Integer, Long> cutOff = (entry, atMs) -> false;
    BiPredicate<Integer, Long> confirmed = (leader, atMs) -> true;

    QuotaSimulation(int count, TeamQuota quota, QuotaTolerance tolerance, double largeShare, long seed) {
        this.random = new Random(seed);
        this.tolerance = tolerance;
        this.quota = quota;
        this.largeShare = largeShare;
        this.smallUnits = quota.defaultUnits();
        for (int i = 0; i < count; i++) {
            entries.add(new Entry());
            entries.get(i).name = "e" + i;
            entries.get(i).nextName = "e" + i;
            followed.add(Optional.empty());
            restart(i);
            entries.get(i).nextRequest = -Math.log(1 - random.nextDouble());
            entries.get(i).reportedAtMs = random.nextInt((int) REPORT_MS) - REPORT_MS;
        }
    }

    long nowMs() {
        return nowMs;
    }

    int entries() {
        return entries.size();
    }

    /** Returns the number of entries whose processes run; at least 1. */
    int running() {
        return (int) Math.max(1, entries.stream().filter(entry -> entry.running).count());
    }

    void restart(int index) {
        Entry entry = entries.get(index);
        entry.client = new QuotaClient(tolerance, ++run);
        entry.client.onConfiguration(Map.of(TEAM, quota));
        entry.asks.clear();
    }

    /** Ends an entry's process. */
    void stop(int index) {
        entries.get(index).running = false;
        entries.get(index).name = entries.get(index).nextName;
        followed.set(index, Optional.empty());
    }

    /** Starts a process at an entry that has ended; it follows the given leader, or none if that is negative. */
    void start(int index, int leader) {
        restart(index);
        entries.get(index).running = true;
        followed.set(index, leader < 0 ? Optional.empty() : followed.get(leader));
    }

    /** Lets the machine of an entry be replaced by one of another name when its process ends. */
    void renameAtStop(int index) {
        entries.get(index).nextName = entries.get(index).name + "n";
    }

    /** Lets an entry lead all entries. */
    void lead(int index) {
        lead(index, 0);
    }

    /** Lets an entry lead all entries from the given one on; the others follow their leader as before. */
    void lead(int index, int from) {
        lead(index, from, followed.size());
    }

    /** Lets an entry lead the entries from one on and up to, but without, another. */
    void lead(int index, int from, int to) {
        QuotaAllocator allocator = new QuotaAllocator(tolerance, countsRefused);
        allocator.onConfiguration(Map.of(TEAM, quota));
        allocator.begin(++run, entries.get(index).client.entries(), record, nowMs);
        Leader leader = new Leader(allocator, index, run);
        writer = Optional.of(leader);
        for (int i = from; i < to; i++) {
            followed.set(i, Optional.of(leader));
        }
    }

    /** Takes the leader from all entries from the given one on. */
    void noLeader(int from) {
        for (int i = from; i < followed.size(); i++) {
            followed.set(i, Optional.empty());
        }
    }

    void configure(TeamQuota changed) {
        quota = changed;
        entries.forEach(entry -> entry.client.onConfiguration(Map.of(TEAM, changed)));
        followed.forEach(each -> each.ifPresent(leader -> leader.allocator().onConfiguration(Map.of(TEAM, changed))));
    }

    /** Writes the lease row as the leader with the newest lease does, if its entry runs and reaches the store. */
    private void renewLease() {
        if (nowMs % RENEWAL_MS != 0) {
            return;
        }
        writer.filter(leader -> entries.get(leader.entry()).running && confirmed.test(leader.entry(), nowMs))
                .ifPresent(leader -> {
                    String written = leader.allocator().holders();
                    messages.add(new Message(nowMs + WRITE_MS, order++, () -> {
                        if (writer.equals(Optional.of(leader))) {
                            record = written;
                            leader.allocator().onHoldersStored(written);
                        }
                    }));
                });
    }

    void run(long untilMs, Demand demand) {
        while (nowMs < untilMs) {
            nowMs += STEP_MS;
            renewLease();
            admitted.add(0.0);
            requested.add(0.0);
            refused.add(0.0);
            while (!messages.isEmpty() && messages.peek().atMs() <= nowMs) {
                messages.poll().action().run();
            }
            for (int i = 0; i < entries.size(); i++) {
                int entry = i;
                followed.get(i)
                        .filter(leader -> leader.entry() == entry)
                        .ifPresent(leader -> leader.allocator().check(confirmed.test(entry, nowMs), nowMs));
                if (entries.get(i).running) {
                    step(i, demand.unitsPerS(i, nowMs));
                }
            }
        }
    }

    private void step(int index, double unitsPerS) {
        Entry entry = entries.get(index);
        double meanUnits = largeShare * LARGE_UNITS + (1 - largeShare) * smallUnits;
        entry.requestsDue += unitsPerS * STEP_MS / 1_000 / meanUnits;
        while (entry.requestsDue >= entry.nextRequest) {
            entry.nextRequest += -Math.log(1 - random.nextDouble());
            double units = random.nextDouble() < largeShare ? largeUnits() : smallUnits;
            add(requested, units);
            settle(entry, entry.client.decide(TEAM, units, nowMs), new Ask(units, nowMs, false), false);
        }
        decideAsks(entry);
        boolean due = nowMs - entry.reportedAtMs >= REPORT_MS;
        boolean urgent = entry.client.reportUrgent() && (!entry.asks.isEmpty() || nowMs - entry.reportedAtMs >= 50);
        if (followed.get(index).isPresent() && (due || urgent)) {
            entry.reportedAtMs = nowMs;
            QuotaReport report = entry.client.report(nowMs);
            Leader to = followed.get(index).get();
            QuotaClient client = entry.client;
            reports++;
            deliver(index, to, () -> {
                QuotaUpdate update =
                        to.allocator().onReport(entry.name, report, confirmed.test(to.entry(), nowMs), nowMs);
                deliver(index, to, () -> client.onUpdate(update, nowMs));
            });
        }
    }

    private double largeUnits() {
        if (!spread) {
            return LARGE_UNITS;
        }
        double factor = Math.exp(random.nextGaussian() * SPREAD - SPREAD * SPREAD / 2);
        return Math.min(MAX_UNITS, LARGE_UNITS * factor);
    }

    private void deliver(int index, Leader to, Runnable action) {
        if (cutOff.test(index, nowMs)) {
            return;
        }
        long delayMs = index == to.entry() ? 0 : ONE_WAY_MS;
        messages.add(new Message(nowMs + delayMs, order++, () -> {
            if (followed.get(index).filter(leader -> leader.term() == to.term()).isPresent()) {
                action.run();
            }
        }));
    }

    private void decideAsks(Entry entry) {
        int count = entry.asks.size();
        for (int i = 0; i < count; i++) {
            Ask ask = entry.asks.poll();
            settle(entry, entry.client.decideAgain(TEAM, ask.units(), nowMs), ask, nowMs - ask.atMs() > ASK_LIMIT_MS);
        }
    }

    private void settle(Entry entry, QuotaDecision decision, Ask ask, boolean last) {
        if (decision.kind() == QuotaDecision.Kind.ADMIT) {
            add(admitted, ask.units());
        } else if (decision.kind() == QuotaDecision.Kind.ASK && !last) {
            entry.asks.add(ask);
        } else {
            add(refused, ask.units());
            onRefused(entry, decision, ask);
        }
    }

    private void onRefused(Entry entry, QuotaDecision decision, Ask ask) {
        if (ask.again()) {
            refusedAgain++;
            return;
        }
        if (!callersReturn) {
            return;
        }
        long toldMs = decision.kind() == QuotaDecision.Kind.REFUSE ? decision.retryAfterMs() : NO_ANSWER_MS;
        toldMsSum += toldMs;
        messages.add(new Message(nowMs + toldMs, order++, () -> {
            returns++;
            Ask again = new Ask(ask.units(), nowMs, true);
            settle(entry, entry.client.decide(TEAM, ask.units(), nowMs), again, false);
        }));
    }

    private static void add(List<Double> steps, double units) {
        int last = steps.size() - 1;
        steps.set(last, steps.get(last) + units);
    }

    /** Returns the most units admitted in any window of a length that begins at or after a time. */
    double mostInWindow(long windowMs, long fromMs) {
        int length = (int) (windowMs / STEP_MS);
        double sum = 0;
        double most = 0;
        int first = (int) (fromMs / STEP_MS);
        for (int i = first; i < admitted.size(); i++) {
            sum += admitted.get(i) - (i - length >= first ? admitted.get(i - length) : 0);
            most = Math.max(most, sum);
        }
        return most;
    }

    static double sum(List<Double> steps, long fromMs, long toMs) {
        double sum = 0;
        for (int i = (int) (fromMs / STEP_MS); i < Math.min(toMs / STEP_MS, steps.size()); i++) {
            sum += steps.get(i);
        }
        return sum;
    }

    /** Returns the longest time in which the team was refused and nothing of it was admitted. */
    long longestRefusalMs(long fromMs, long toMs) {
        long longest = 0;
        long since = -1;
        for (int i = (int) (fromMs / STEP_MS); i < Math.min(toMs / STEP_MS, refused.size()); i++) {
            if (admitted.get(i) > 0) {
                since = -1;
            } else if (refused.get(i) > 0) {
                since = since < 0 ? i * STEP_MS : since;
                longest = Math.max(longest, i * STEP_MS - since);
            }
        }
        return longest;
    }
}

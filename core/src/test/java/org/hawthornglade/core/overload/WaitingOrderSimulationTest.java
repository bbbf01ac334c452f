package org.hawthornglade.core.overload;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeSet;
import org.hawthornglade.core.dispatch.SlotSupply;
import org.hawthornglade.core.id.ServiceName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bursts of urgent calls beside less urgent ones at servers with a fixed number of slots, in virtual time. */
class WaitingOrderSimulationTest {
    private static final ServiceName SERVICE = ServiceName.of("licences");
    private static final double USUAL_LOAD = 0.8;
    private static final double CALL_MS = 1_200;
    private static final double FIRST_MS = 100;
    private static final long END_MS = 90_000;
    private static final long BURST_BEGIN_MS = 20_000;
    /** Interval at which all waiting calls are decided again without a change. */
    private static final long RECHECK_MS = 50;

    private static final long LAST_ARRIVAL_MS = 65_000;

    /** A kind of calls, with the weight of one served call in the total value. */
    private record Kind(String name, int priority, double perS, long targetMs, long deadlineMs, double value) {}

    private static final Kind EXPLAIN = new Kind("fault-explain", 0, 27, 407, 15_244, 1);
    private static final Kind DIGEST = new Kind("audit-digest", 1, 21.1, 815, 5_094, 1);
    private static final Kind PREMIUM = new Kind("audit-premium", 2, 15.7, 5_015, 17_051, 3);

    private record Call(long number, Kind kind, long arrivedAtMs) {}

    private record Running(Call call, long sentAtMs, long firstAtMs, long endAtMs) {}

    private static final class Tally {
        private int arrived;
        private int onTarget;
        private int inTime;
        private int burstArrived;
        private int burstOnTarget;
        private double value;

        double share() {
            return (double) inTime / arrived;
        }

        double burstTargetShare() {
            return (double) burstOnTarget / burstArrived;
        }

        @Override
        public String toString() {
            return "arrived " + arrived + " target " + onTarget + " deadline " + inTime + " in burst " + burstArrived
                    + " target " + burstOnTarget;
        }
    }

    /** The waiting calls in some order. */
    private interface Waiters {
        void onArrived(Call call, long nowMs);

        void onStarted(Call call, long nowMs);

        void add(Call call, double firstMs, long nowMs);

        void remove(Call call);

        int ahead(Call call, double firstMs, long nowMs);

        List<Call> order(double startsPerMs, long nowMs);
    }

    /** The order by priority, then by arrival. */
    private static final class ByArrival implements Waiters {
        private static final Comparator<Call> ORDER =
                Comparator.comparingInt((Call call) -> call.kind().priority()).thenComparingLong(Call::number);

        private final TreeSet<Call> calls = new TreeSet<>(ORDER);

        @Override
        public void onArrived(Call call, long nowMs) {}

        @Override
        public void onStarted(Call call, long nowMs) {}

        @Override
        public void add(Call call, double firstMs, long nowMs) {
            calls.add(call);
        }

        @Override
        public void remove(Call call) {
            calls.remove(call);
        }

        @Override
        public int ahead(Call call, double firstMs, long nowMs) {
            return calls.headSet(call).size();
        }

        @Override
        public List<Call> order(double startsPerMs, long nowMs) {
            return new ArrayList<>(calls);
        }
    }

    /** The order by the latest possible starts. */
    private static final class ByUrgency implements Waiters {
        private final WaitingOrder<Call> order = new WaitingOrder<>();
        private final StartShares shares = new StartShares();
        private final Map<Call, Urgency> urgencies = new HashMap<>();

        private static Urgency urgency(Call call, double firstMs) {
            return Urgency.of(
                    call.kind().priority(),
                    call.arrivedAtMs() + call.kind().targetMs(),
                    call.arrivedAtMs() + call.kind().deadlineMs(),
                    firstMs,
                    0,
                    call.number());
        }

        @Override
        public void onArrived(Call call, long nowMs) {
            shares.onArrived(call.kind().priority(), nowMs);
        }

        @Override
        public void onStarted(Call call, long nowMs) {
            shares.onStarted(call.kind().priority(), call.arrivedAtMs());
        }

        @Override
        public void add(Call call, double firstMs, long nowMs) {
            Urgency urgency = urgency(call, firstMs);
            urgencies.put(call, urgency);
            order.add(urgency, call, nowMs);
        }

        @Override
        public void remove(Call call) {
            order.remove(urgencies.remove(call));
        }

        @Override
        public int ahead(Call call, double firstMs, long nowMs) {
            return order.ahead(urgency(call, firstMs), shares, nowMs);
        }

        @Override
        public List<Call> order(double startsPerMs, long nowMs) {
            return order.order(startsPerMs, shares, nowMs);
        }
    }

    /** One entry in front of servers with a number of slots that is enough for the usual load. */
    private static final class Site {
        private final Waiters waiters;
        private final List<Kind> kinds;
        private final List<Tally> tallies = new ArrayList<>();
        private final Random arriving;
        private final Random random;
        private final int slots;
        private final ServiceTimes times = new ServiceTimes();
        private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endAtMs));
        private long arrivals;
        private long burstEndMs;

        Site(Waiters waiters, List<Kind> kinds, long seed) {
            this.waiters = waiters;
            this.kinds = kinds;
            this.arriving = new Random(seed);
            this.random = new Random(seed + 1_000);
            kinds.forEach(kind -> tallies.add(new Tally()));
            double perS = kinds.stream().mapToDouble(Kind::perS).sum();
            this.slots = (int) Math.round(perS * CALL_MS / 1_000 / USUAL_LOAD);
        }

        List<Tally> run(double burst, long burstMs) {
            burstEndMs = BURST_BEGIN_MS + burstMs;
            for (long nowMs = 0; nowMs < END_MS; nowMs++) {
                boolean inBurst = inBurst(nowMs);
                boolean freed = endCalls(nowMs);
                if (freed || nowMs % RECHECK_MS == 0) {
                    decideWaiting(nowMs);
                }
                for (Kind kind : kinds) {
                    double perMs = kind.perS() / 1_000 * (inBurst && kind.equals(EXPLAIN) ? burst : 1);
                    if (arriving.nextDouble() < perMs && nowMs < LAST_ARRIVAL_MS) {
                        arrive(new Call(++arrivals, kind, nowMs), nowMs);
                    }
                }
            }
            return tallies;
        }

        private boolean inBurst(long nowMs) {
            return nowMs >= BURST_BEGIN_MS && nowMs < burstEndMs;
        }

        private boolean endCalls(long nowMs) {
            boolean freed = false;
            while (!running.isEmpty() && running.peek().endAtMs() <= nowMs) {
                Running ended = running.poll();
                long firstMs = ended.firstAtMs() - ended.sentAtMs();
                times.onCompleted(SERVICE, Optional.empty(), firstMs, nowMs - ended.sentAtMs(), nowMs);
                count(ended);
                freed = true;
            }
            return freed;
        }

        private void count(Running ended) {
            Kind kind = ended.call().kind();
            Tally tally = tallies.get(kinds.indexOf(kind));
            long tookMs = ended.firstAtMs() - ended.call().arrivedAtMs();
            if (tookMs > kind.deadlineMs()) {
                return;
            }
            tally.inTime++;
            if (tookMs <= kind.targetMs()) {
                tally.onTarget++;
                tally.burstOnTarget += inBurst(ended.call().arrivedAtMs()) ? 1 : 0;
            }
            // Full value up to the target, falling in proportion to the time to nothing at the deadline.
            double late = (double) (tookMs - kind.targetMs()) / (kind.deadlineMs() - kind.targetMs());
            tally.value += kind.value() * (1 - Math.max(0, late));
        }

        private void arrive(Call call, long nowMs) {
            Tally tally = tallies.get(kinds.indexOf(call.kind()));
            tally.arrived++;
            tally.burstArrived += inBurst(nowMs) ? 1 : 0;
            waiters.onArrived(call, nowMs);
            if (running.size() < slots) {
                send(call, nowMs);
            } else if (!late(call, false, nowMs)) {
                waiters.add(call, firstMs(nowMs), nowMs);
            }
        }

        private void decideWaiting(long nowMs) {
            double perMs = times.of(SERVICE, Optional.empty(), nowMs)
                    .map(time -> running.size() / time.totalMs())
                    .orElse(0.0);
            boolean all = nowMs % RECHECK_MS == 0;
            for (Call call : waiters.order(perMs, nowMs)) {
                if (!all && running.size() >= slots) {
                    return;
                }
                waiters.remove(call);
                boolean expired = call.arrivedAtMs() + call.kind().deadlineMs() <= nowMs;
                if (running.size() < slots && !expired) {
                    send(call, nowMs);
                } else if (!expired && !late(call, true, nowMs)) {
                    waiters.add(call, firstMs(nowMs), nowMs);
                }
            }
        }

        private double firstMs(long nowMs) {
            return times.of(SERVICE, Optional.empty(), nowMs)
                    .map(ServiceTime::firstMs)
                    .orElse(0.0);
        }

        private boolean late(Call call, boolean waits, long nowMs) {
            SlotSupply supply =
                    new SlotSupply(1, running.size(), running.size(), running.size() < slots, OptionalLong.empty());
            long leftMs = call.arrivedAtMs() + call.kind().deadlineMs() - nowMs;
            int ahead = waiters.ahead(call, firstMs(nowMs), nowMs);
            return times.of(SERVICE, Optional.empty(), nowMs)
                    .map(time ->
                            StartPrediction.of(ahead, supply, 1, time, nowMs).tooLate(leftMs, waits))
                    .orElse(false);
        }

        private void send(Call call, long nowMs) {
            waiters.onStarted(call, nowMs);
            long firstAtMs = nowMs + Math.round(FIRST_MS * (0.5 + random.nextDouble()));
            long endAtMs = Math.max(firstAtMs, nowMs + Math.round(CALL_MS * (0.5 + random.nextDouble())));
            running.add(new Running(call, nowMs, firstAtMs, endAtMs));
        }
    }

    private static double value(List<Tally> tallies) {
        return tallies.stream().mapToDouble(tally -> tally.value).sum();
    }

    private static double valueInTime(List<Tally> tallies, List<Kind> kinds) {
        double sum = 0;
        for (int i = 0; i < kinds.size(); i++) {
            sum += kinds.get(i).value() * tallies.get(i).inTime;
        }
        return sum;
    }

    private static List<Kind> kinds(boolean routine) {
        return routine ? List.of(EXPLAIN, DIGEST, PREMIUM) : List.of(EXPLAIN, PREMIUM);
    }

    private static Waiters orderInForce() {
        return new ByUrgency();
    }

    /**
     * In a burst of the most urgent calls, strict priority served none of the least urgent ones, and calls that had
     * missed their target went before calls that could still meet theirs.
     */
    @ParameterizedTest
    @CsvSource({"false, 2.5, 20000", "true, 2.5, 20000", "false, 1.8, 20000", "true, 2.5, 8000"})
    void noKindIsStarvedInABurst(boolean routine, double burst, long burstMs) {
        for (long seed = 1; seed <= 3; seed++) {
            List<Tally> before = new Site(new ByArrival(), kinds(routine), seed).run(burst, burstMs);
            List<Tally> after = new Site(orderInForce(), kinds(routine), seed).run(burst, burstMs);
            double valueBefore = valueInTime(before, kinds(routine));
            double valueAfter = valueInTime(after, kinds(routine));
            String figures = "before " + before + " value " + Math.round(value(before)) + " in time " + valueBefore
                    + ", after " + after + " value " + Math.round(value(after)) + " in time " + valueAfter + ", seed "
                    + seed;
            for (int i = 0; i < after.size(); i++) {
                assertWithMessage(figures).that(after.get(i).share()).isAtLeast(0.9);
                assertWithMessage(figures).that(after.get(i).burstTargetShare()).isAtLeast(0.4);
                for (int j = i + 1; j < after.size(); j++) {
                    assertWithMessage(figures)
                            .that(after.get(j).share() - after.get(i).share())
                            .isAtMost(0.05);
                }
            }
            assertWithMessage(figures).that(value(after)).isAtLeast(value(before));
            assertWithMessage(figures).that(valueAfter).isAtLeast(valueBefore);
        }
    }

    /** At the usual load the order must not cost any kind a call. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void usualLoadIsServedWhole(boolean routine) {
        for (Tally tally : new Site(orderInForce(), kinds(routine), 1).run(1, 0)) {
            assertThat(tally.share()).isEqualTo(1.0);
        }
    }
}

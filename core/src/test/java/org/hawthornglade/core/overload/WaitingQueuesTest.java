package org.hawthornglade.core.overload;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order and the counts that are kept up to date, compared with those that are computed anew. */
class WaitingQueuesTest {
    private static final ServiceName SERVICE = ServiceName.of("licences");
    private static final int MODELS = 5;
    private static final int STEPS = 4_000;

    private record Call(Optional<ModelName> model, Urgency urgency, long arrivedAtMs) {}

    private static Optional<ModelName> model(int number) {
        return Optional.of(ModelName.of("model-" + number));
    }

    private static Urgency urgency(Random random, long nowMs, long number) {
        long targetStartMs = nowMs + random.nextInt(400);
        long yieldsUntilMs = random.nextInt(10) == 0 ? nowMs + random.nextInt(500) : 0;
        return new Urgency(
                random.nextInt(3), targetStartMs, targetStartMs + random.nextInt(2_000), yieldsUntilMs, number);
    }

    private static Call call(Random random, long nowMs, long number) {
        return new Call(model(random.nextInt(MODELS)), urgency(random, nowMs, number), nowMs);
    }

    private static void add(WaitingQueues<Call> queues, Call call, long nowMs) {
        queues.add(SERVICE, call.model(), call.urgency(), call, nowMs);
    }

    /** Counts the calls ahead one by one. */
    private static int countAhead(List<Call> waiting, Call call, StartShares shares, long nowMs) {
        Urgency urgency = call.urgency();
        List<Urgency> others = waiting.stream()
                .filter(each -> each.model().equals(call.model()))
                .map(Call::urgency)
                .toList();
        if (urgency.yields(nowMs)) {
            return (int) others.stream()
                    .filter(each -> !each.yields(nowMs)
                            || each.yieldsUntilMs() < urgency.yieldsUntilMs()
                            || (each.yieldsUntilMs() == urgency.yieldsUntilMs() && each.number() < urgency.number()))
                    .count();
        }
        Map<Integer, Integer> ahead = new HashMap<>();
        for (Urgency other : others) {
            boolean sooner = Comparator.comparingLong((Urgency each) -> each.latestStartMs(nowMs))
                            .thenComparingLong(Urgency::number)
                            .compare(other, urgency)
                    < 0;
            boolean higher = other.priority() < urgency.priority();
            if (!other.yields(nowMs) && (sooner || (higher && other.meetsTarget(nowMs)))) {
                ahead.merge(other.priority(), 1, Integer::sum);
            }
        }
        int own = ahead.getOrDefault(urgency.priority(), 0);
        int sum = own;
        for (Map.Entry<Integer, Integer> entry : ahead.entrySet()) {
            if (entry.getKey() != urgency.priority()) {
                double most =
                        (own + 1) * shares.arrived(entry.getKey(), nowMs) / shares.arrived(urgency.priority(), nowMs);
                sum += (int) Math.min(entry.getValue(), most);
            }
        }
        return sum;
    }

    /** Counts or an order that drift from the waiting calls would refuse the wrong calls, or starve some. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void countsAndOrderAreThoseComputedAnew(long seed) {
        Random random = new Random(seed);
        WaitingQueues<Call> queues = new WaitingQueues<>();
        StartShares shares = new StartShares();
        List<Call> waiting = new ArrayList<>();
        long nowMs = 0;
        for (int step = 0; step < STEPS; step++) {
            nowMs += random.nextInt(8);
            Call arrived = call(random, nowMs, step);
            shares.onArrived(arrived.urgency().priority(), nowMs);
            queues.onArrived(SERVICE, arrived.urgency().priority(), nowMs);
            assertWithMessage("step %s", step)
                    .that(queues.ahead(SERVICE, arrived.model(), arrived.urgency(), nowMs))
                    .isEqualTo(countAhead(waiting, arrived, shares, nowMs));
            add(queues, arrived, nowMs);
            waiting.add(arrived);
            if (random.nextInt(60) < waiting.size()) {
                Call ended = waiting.remove(random.nextInt(waiting.size()));
                queues.remove(ended);
                shares.onStarted(ended.urgency().priority(), ended.arrivedAtMs());
                queues.onStarted(SERVICE, ended.urgency().priority(), ended.arrivedAtMs());
            }
            WaitingOrder<Call> anew = new WaitingOrder<>();
            for (Call each : waiting) {
                anew.add(each.urgency(), each, nowMs);
            }
            assertThat(queues.order(SERVICE, any -> true, 0.05, nowMs)).isEqualTo(anew.order(0.05, shares, nowMs));
        }
        waiting.forEach(queues::remove);
        assertThat(queues.isEmpty()).isTrue();
        assertThat(queues.services()).isEmpty();
    }

    private static final class Server {
        private final Set<Optional<ModelName>> models;
        private int free;

        Server(Set<Optional<ModelName>> models, int free) {
            this.models = models;
            this.free = free;
        }
    }

    /** Servers with a few models each, and the calls that wait for them. */
    private static final class Site {
        private final List<Server> servers = new ArrayList<>();
        private final WaitingQueues<Call> queues = new WaitingQueues<>();
        private final List<Call> started = new ArrayList<>();

        Site(long seed) {
            Random random = new Random(seed);
            for (int i = 0; i < 6; i++) {
                servers.add(new Server(Set.of(model(i % MODELS), model((i + 1 + random.nextInt(3)) % MODELS)), 2));
            }
        }

        void arrive(Call call, long nowMs) {
            queues.onArrived(SERVICE, call.urgency().priority(), nowMs);
            if (!start(call)) {
                add(queues, call, nowMs);
            }
        }

        /** Ends a call at a server and decides again on the calls that it could run, or on all. */
        void end(int index, boolean all, long nowMs) {
            Server server = servers.get(index);
            server.free++;
            for (Call call : queues.order(SERVICE, model -> all || server.models.contains(model), 0.05, nowMs)) {
                queues.remove(call);
                if (!start(call)) {
                    add(queues, call, nowMs);
                }
            }
        }

        private boolean start(Call call) {
            for (Server server : servers) {
                if (server.free > 0 && server.models.contains(call.model())) {
                    server.free--;
                    queues.onStarted(SERVICE, call.urgency().priority(), call.arrivedAtMs());
                    started.add(call);
                    return true;
                }
            }
            return false;
        }
    }

    /** Deciding only on the calls that an ended call concerns must start the same calls as deciding on all of them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void partAndWholeStartTheSameCalls(long seed) {
        Random random = new Random(seed);
        Site part = new Site(seed);
        Site whole = new Site(seed);
        long nowMs = 0;
        for (int step = 0; step < STEPS; step++) {
            nowMs += random.nextInt(8);
            Call arrived = call(random, nowMs, step);
            part.arrive(arrived, nowMs);
            whole.arrive(arrived, nowMs);
            int server = random.nextInt(part.servers.size());
            if (part.servers.get(server).free < 2) {
                part.end(server, false, nowMs);
                whole.end(server, true, nowMs);
            }
            assertThat(part.started.size()).isEqualTo(whole.started.size());
        }
        assertThat(part.started).isEqualTo(whole.started);
        assertThat(part.started.size()).isGreaterThan(STEPS / 4);
    }

    /** Calls of other models must be left alone when a call ends, as their number makes up most of the cost. */
    @Test
    void otherModelsAndServicesAreNotReturned() {
        WaitingQueues<Call> queues = new WaitingQueues<>();
        Random random = new Random(1);
        for (int i = 0; i < 100; i++) {
            add(queues, call(random, 0, i), 0);
        }
        List<Call> ordered = queues.order(SERVICE, model(2)::equals, 0, 0);
        assertThat(ordered).isNotEmpty();
        assertThat(ordered.stream().map(Call::model).distinct().toList()).containsExactly(model(2));
        assertThat(queues.order(ServiceName.of("other"), any -> true, 0, 0)).isEmpty();
    }
}

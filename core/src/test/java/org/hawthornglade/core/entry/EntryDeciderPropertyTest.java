package org.hawthornglade.core.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ReplicaPhase;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Runs random event sequences with lost, late and repeated replies and checks answers against what really happened. */
final class EntryDeciderPropertyTest {
    private static final List<String> ENGINES = List.of("engine-1", "engine-2");
    private static final List<String> SERVICES = List.of("orders-1", "orders-2");
    private static final int STEPS = 120;
    private static final long MAX_STEP_MS = 300;
    private static final long MAX_DEADLINE_MS = 4_000;

    @Property(seed = "4711", tries = 800)
    void eachRequestGetsOneTruthfulAnswerInTime(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
        }
        simulation.drain();
    }

    /** Simulates the entry process and its agents and checks the commands issued. */
    private static final class Simulation {
        private record Sent(IncomingRequest request, AttemptId attempt, InstanceId instance) {}

        private final Random random;
        private final EntryDecider decider;
        private final Map<RequestId, IncomingRequest> arrived = new HashMap<>();
        private final Set<RequestId> answered = new HashSet<>();
        private final Set<RequestId> mayHaveRun = new HashSet<>();
        private final List<Sent> inFlight = new ArrayList<>();
        private final List<EntryEvent> deliveredReplies = new ArrayList<>();
        private final Set<InstanceId> unavailable = new HashSet<>();
        private long nowMs = 1_000;
        private int nextId;
        private boolean stopping;
        private int stopCount;

        Simulation(Random random) {
            this.random = random;
            this.decider = new EntryDecider(FailureDomain.of("domain-a"), new Random(random.nextLong()));
            accept(new EntryEvent.ConfigurationApplied(Configurations.valid()));
        }

        void step() {
            nowMs += random.nextLong(MAX_STEP_MS);
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> arrive();
                case 3, 4, 5 -> endOne();
                case 6 -> report();
                case 7 -> repeatReply();
                case 8 -> abandonOne();
                default -> accept(new EntryEvent.Tick());
            }
            accept(new EntryEvent.Tick());
            checkOverdue();
        }

        /** Stops the entry and lets time pass without any reply. */
        void drain() {
            stopping = true;
            accept(new EntryEvent.StopRequested());
            long untilMs = nowMs + MAX_DEADLINE_MS + EntryDecider.CANCEL_TIMEOUT_MS + 2 * MAX_STEP_MS;
            while (nowMs < untilMs) {
                nowMs += MAX_STEP_MS;
                accept(new EntryEvent.Tick());
                checkOverdue();
            }
            assertThat(answered).isEqualTo(arrived.keySet());
            assertThat(stopCount).isEqualTo(1);
        }

        private void arrive() {
            String id = "r" + nextId++;
            long deadlineMs = 1 + random.nextLong(MAX_DEADLINE_MS);
            IncomingRequest request = random.nextBoolean()
                    ? Requests.onQuote(id, nowMs, deadlineMs)
                    : Requests.onOrders(id, nowMs, deadlineMs);
            arrived.put(request.id(), request);
            accept(new EntryEvent.RequestArrived(request));
        }

        private void report() {
            boolean engine = random.nextBoolean();
            InstanceId instance = InstanceId.of((engine ? ENGINES : SERVICES).get(random.nextInt(2)));
            if (random.nextInt(5) == 0) {
                unavailable.add(instance);
                accept(new EntryEvent.AgentLost(instance));
                return;
            }
            boolean draining = random.nextInt(4) == 0;
            ReplicaPhase phase = random.nextInt(3) == 0 ? ReplicaPhase.LOADING : ReplicaPhase.READY;
            AgentView view = engine
                    ? Requests.engine(instance.value(), draining, phase, phase == ReplicaPhase.READY ? 0 : 500)
                    : Requests.orders(instance.value(), draining);
            if (draining) {
                unavailable.add(instance);
            } else {
                unavailable.remove(instance);
            }
            accept(new EntryEvent.AgentReported(view));
        }

        private void endOne() {
            if (inFlight.isEmpty()) {
                return;
            }
            Sent sent = inFlight.remove(random.nextInt(inFlight.size()));
            if (!sent.request().idempotent() && random.nextBoolean()) {
                accept(new EntryEvent.AttemptClaimed(sent.attempt()));
            }
            if (answered.contains(sent.request().id())) {
                return;
            }
            EntryEvent reply = new EntryEvent.AttemptEnded(sent.attempt(), outcome(sent));
            deliveredReplies.add(reply);
            accept(reply);
        }

        private AttemptOutcome outcome(Sent sent) {
            RequestId id = sent.request().id();
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    mayHaveRun.add(id);
                    answered(id);
                    return AttemptOutcome.complete();
                }
                case 2 -> {
                    mayHaveRun.add(id);
                    boolean answerStarted = sent.request().idempotent() && random.nextBoolean();
                    return AttemptOutcome.unknown(Failure.of(ResultCode.ANSWER_INCOMPLETE, "cut"), answerStarted);
                }
                case 3 -> {
                    return AttemptOutcome.notRun(Failure.retryAfter(ResultCode.AGENT_DRAINING, "leaving", 100));
                }
                default -> {
                    return AttemptOutcome.notRun(Failure.retryAfter(ResultCode.NO_ENDPOINT, "refused", 100));
                }
            }
        }

        /** Delivers an earlier reply a second time. */
        private void repeatReply() {
            if (!deliveredReplies.isEmpty()) {
                accept(deliveredReplies.get(random.nextInt(deliveredReplies.size())));
            }
        }

        private void abandonOne() {
            if (!inFlight.isEmpty()) {
                accept(new EntryEvent.RequestAbandoned(
                        inFlight.get(random.nextInt(inFlight.size())).request().id()));
            }
        }

        private void accept(EntryEvent event) {
            for (EntryCommand command : decider.on(event, nowMs)) {
                if (command instanceof EntryCommand.Dispatch dispatch) {
                    dispatched(dispatch);
                } else if (command instanceof EntryCommand.Refuse refuse) {
                    refused(refuse);
                } else if (command instanceof EntryCommand.StopFinished) {
                    stopCount++;
                }
            }
        }

        private void dispatched(EntryCommand.Dispatch dispatch) {
            IncomingRequest request = arrived.get(dispatch.request());
            assertWithMessage("sent although answered: %s", request)
                    .that(answered)
                    .doesNotContain(request.id());
            assertWithMessage("sent after its deadline").that(nowMs).isLessThan(request.deadlineAtMs());
            assertWithMessage("sent to a leaving or lost instance")
                    .that(unavailable)
                    .doesNotContain(dispatch.instance());
            boolean alreadyInFlight =
                    inFlight.stream().anyMatch(sent -> sent.request().id().equals(request.id()));
            assertWithMessage("two attempts at once").that(alreadyInFlight).isFalse();
            boolean again = !request.idempotent() && mayHaveRun.contains(request.id());
            assertWithMessage("may run twice").that(again).isFalse();
            inFlight.add(new Sent(request, dispatch.attempt(), dispatch.instance()));
        }

        private void refused(EntryCommand.Refuse refuse) {
            RequestId id = refuse.request();
            answered(id);
            boolean open = inFlight.removeIf(sent -> sent.request().id().equals(id));
            ResultCode code = refuse.failure().code();
            if (code.execution() == Execution.NOT_RUN) {
                assertWithMessage("%s claims that the request did not run", code)
                        .that(open || mayHaveRun.contains(id))
                        .isFalse();
            }
            if (code.hasRetryAfter()) {
                assertThat(refuse.failure().retryAfterMs()).isGreaterThan(0);
            }
            if (stopping) {
                assertThat(arrived).containsKey(id);
            }
        }

        private void answered(RequestId id) {
            assertWithMessage("answered twice: %s", id).that(answered.add(id)).isTrue();
        }

        private void checkOverdue() {
            arrived.forEach((id, request) -> {
                boolean late = nowMs > request.deadlineAtMs() + EntryDecider.CANCEL_TIMEOUT_MS + MAX_STEP_MS;
                assertWithMessage("not answered in time: %s", id)
                        .that(late && !answered.contains(id))
                        .isFalse();
            });
        }
    }
}

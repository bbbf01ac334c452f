package org.hawthornglade.core.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Random;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.report.ReplicaPhase;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Test;

/** Compares a whole session of an entry, events in and commands out, with a golden file. */
final class EntrySessionTest {
    private static final String FILE = "entry-session.txt";

    private final EntryDecider decider = new EntryDecider(FailureDomain.of("domain-a"), new Random(1));
    private final StringBuilder session = new StringBuilder();
    private long nowMs = 1_000;

    @Test
    void sessionMatchesGoldenFile() throws IOException {
        runScenario();
        assertThat(session.toString()).isEqualTo(expected());
    }

    private void runScenario() {
        on("configuration applied", new EntryEvent.ConfigurationApplied(Configurations.valid()));
        on("engine-1 has a row for quote, not loaded", report("engine-1", false, ReplicaPhase.ABSENT, 700));
        on("orders-1 reports as ready", new EntryEvent.AgentReported(Requests.orders("orders-1", false)));
        on("cold request r1, deadline 2000 ms", arrival(Requests.onQuote("r1", nowMs, 2_000)));
        on("request r2, deadline 100 ms: not reachable", arrival(Requests.onQuote("r2", nowMs, 100)));
        advance(400);
        on("engine-1 loads", report("engine-1", false, ReplicaPhase.LOADING, 200));
        advance(200);
        on("engine-1 is ready", report("engine-1", false, ReplicaPhase.READY, 0));
        on("engine-2 is ready too", report("engine-2", false, ReplicaPhase.READY, 0));
        advance(30);
        on("the agent of r1.1 disconnects before any byte", ended("r1.1", unknown(false)));
        advance(600);
        on("tick", new EntryEvent.Tick());
        advance(50);
        on("r1.2 completes", ended("r1.2", AttemptOutcome.complete()));
        on("r1.1 ends a second time, late", ended("r1.1", AttemptOutcome.complete()));
        on("orders request r3, deadline 1000 ms", arrival(Requests.onOrders("r3", nowMs, 1_000)));
        on("r3.1 is claimed", new EntryEvent.AttemptClaimed(AttemptId.of("r3.1")));
        on("r3.1 loses its connection", ended("r3.1", unknown(false)));
        advance(1_500);
        on("orders request r4, deadline 500 ms", arrival(Requests.onOrders("r4", nowMs, 500)));
        on("r4.1 is claimed", new EntryEvent.AttemptClaimed(AttemptId.of("r4.1")));
        advance(500);
        on("the deadline of r4 passes", new EntryEvent.Tick());
        advance(1_000);
        on("no end of r4.1 was reported", new EntryEvent.Tick());
        on("the instance list shows orders-1 as leaving", new EntryEvent.InstancesListed(List.of(leaving("orders-1"))));
        on("orders request r5, deadline 400 ms", arrival(Requests.onOrders("r5", nowMs, 400)));
        advance(400);
        on("the deadline of r5 passes", new EntryEvent.Tick());
        on("stream r6, deadline 5000 ms", arrival(Requests.onQuote("r6", nowMs, 5_000)));
        on("stop requested", new EntryEvent.StopRequested());
        on("request r7 after the stop request", arrival(Requests.onQuote("r7", nowMs, 5_000)));
        on("r6 is cut after bytes were forwarded", ended("r6.1", unknown(true)));
    }

    private void advance(long ms) {
        nowMs += ms;
    }

    private void on(String description, EntryEvent event) {
        session.append("t=").append(nowMs).append(" > ").append(description).append('\n');
        for (EntryCommand command : decider.on(event, nowMs)) {
            String text = textOf(command);
            if (!text.isEmpty()) {
                session.append("    < ").append(text).append('\n');
            }
        }
    }

    private static String textOf(EntryCommand command) {
        if (command instanceof EntryCommand.Dispatch dispatch) {
            return "dispatch " + dispatch.attempt() + " to " + dispatch.instance();
        }
        if (command instanceof EntryCommand.Refuse refuse) {
            Failure failure = refuse.failure();
            return "refuse " + refuse.request() + " " + failure.code() + " ("
                    + failure.code().execution() + "), retry after " + failure.retryAfterMs() + " ms";
        }
        if (command instanceof EntryCommand.CancelAttempt cancel) {
            return "cancel " + cancel.attempt();
        }
        if (command instanceof EntryCommand.StopAtAgent stop) {
            return "stop " + stop.attempt() + " at " + stop.instance();
        }
        if (command instanceof EntryCommand.PublishDemand publish) {
            return publish.demand().stream()
                    .map(EntrySessionTest::textOf)
                    .reduce("demand", (left, right) -> left + " " + right);
        }
        return command instanceof EntryCommand.StopFinished ? "stop finished" : "";
    }

    private static String textOf(ModelDemand demand) {
        return demand.model() + " queued=" + demand.queued() + " running=" + demand.running();
    }

    private static EntryEvent arrival(IncomingRequest request) {
        return new EntryEvent.RequestArrived(request);
    }

    private static EntryEvent report(String instance, boolean draining, ReplicaPhase phase, long readyInMs) {
        return new EntryEvent.AgentReported(Requests.engine(instance, draining, phase, readyInMs));
    }

    private static EntryEvent ended(String attempt, AttemptOutcome outcome) {
        return new EntryEvent.AttemptEnded(AttemptId.of(attempt), outcome);
    }

    private static AttemptOutcome unknown(boolean answerStarted) {
        return AttemptOutcome.unknown(Failure.of(ResultCode.OUTCOME_UNKNOWN, "connection lost"), answerStarted);
    }

    private static InstanceInfo leaving(String instance) {
        return new InstanceInfo(
                InstanceId.of(instance),
                InstanceRole.SERVICE,
                Requests.ORDERS,
                FailureDomain.of("domain-a"),
                "127.0.0.1",
                1,
                2,
                0,
                0,
                InstanceState.LEAVING);
    }

    private static String expected() throws IOException {
        try (InputStream in = EntrySessionTest.class.getResourceAsStream(FILE)) {
            return in == null ? "" : new String(in.readAllBytes(), UTF_8);
        }
    }
}

package org.hawthornglade.core.agent;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hawthornglade.core.agent.AgentSession.engineModel;
import static org.hawthornglade.core.agent.AgentSession.held;
import static org.hawthornglade.core.agent.AgentSession.row;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ReplicaView;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Test;

/** Compares a whole session of one agent, from its start to the end of its drain, with a golden file. */
final class AgentGoldenTest {
    private static final String FILE = "/org/hawthornglade/core/agent/agent.session";

    private final AgentSession session = new AgentSession();
    private final List<String> lines = new ArrayList<>();
    private final List<AgentCommand> recordedOrders = new ArrayList<>();

    @Test
    void sessionMatchesGoldenFile() throws IOException {
        start();
        serve();
        failAndRecover();
        drain();
        try (InputStream golden = AgentGoldenTest.class.getResourceAsStream(FILE)) {
            assertThat(lines)
                    .isEqualTo(new String(golden.readAllBytes(), UTF_8).lines().toList());
        }
    }

    private void start() {
        session.deliver(new AgentEvent.ConfigurationApplied(Configurations.valid()));
        recordStep("configuration 1 applied");
        session.report(engineModel("left-over", LoadState.HALF_PRESENT));
        recordStep("engine reports a half-present model of another process");
        session.deliver(new AgentEvent.FenceTaken(4));
        recordStep("fencing number 4 taken");
        session.readRows(held("quote", 1));
        recordStep("row quote#0 read as held");
        session.acceptOrders();
        session.report(engineModel("left-over", LoadState.HALF_PRESENT));
        recordStep("engine accepts the number and reports");
        session.acceptOrders();
        session.report();
        recordStep("engine unloads the model and reports none");
    }

    private void serve() {
        session.reportDemand("quote", 2, "quote-ms");
        recordStep("entry reports 2 queued requests, one for adapter quote-ms");
        session.acceptOrders();
        session.report(engineModel("quote", LoadState.LOADING));
        recordStep("engine accepts the load and reports it as loading");
        session.nowMs += 2_000;
        session.report(engineModel("quote", LoadState.READY));
        recordStep("2 s later the engine reports the model as ready");
        session.acceptOrders();
        session.report(engineModel("quote", LoadState.READY), engineModel("quote-ms", "1", "quote", LoadState.READY));
        recordStep("engine reports the adapter as ready");
        session.attemptArrives("a1", "quote");
        recordStep("attempt a1 arrives");
        session.attemptArrives("a1", "quote");
        recordStep("attempt a1 arrives again");
        session.deliver(
                new AgentEvent.CancelRequested(session.attempt("a2", "quote").id()));
        session.attemptArrives("a2", "quote");
        recordStep("attempt a2 is cancelled before it arrives");
    }

    private void failAndRecover() {
        session.deliver(
                new AgentEvent.AttemptEnded(session.attempt("a1", "quote").id()));
        session.reportDemand("quote", 0);
        recordStep("attempt a1 ends, no request is queued");
        session.advance(61_000);
        recordStep("61 s pass");
        session.failOrder(session.newOrders().get(0), ResultCode.PLATFORM_OUTCOME_UNKNOWN);
        recordStep("the reply to the unload of the adapter is lost");
        session.deliver(new AgentEvent.FenceTaken(5));
        session.acceptOrders();
        session.report();
        recordStep("fencing number 5 taken and raised, engine reports no model");
    }

    private void drain() {
        session.deliver(new AgentEvent.DrainRequested("process stopping"));
        recordStep("drain requested");
        session.deliver(new AgentEvent.RowReleased(held("quote", 1)));
        session.readRows(row("quote", AssignmentState.RELEASED, 2));
        recordStep("row quote#0 released");
    }

    /** Records a step and the commands issued since the last one; orders are kept for the session to answer. */
    private void recordStep(String event) {
        lines.add("> " + event);
        for (AgentCommand command : session.commands) {
            boolean recorded = command instanceof AgentCommand.RecordEvent;
            if (!recorded && !recordedOrders.contains(command)) {
                lines.add("< " + text(command));
            }
        }
        recordedOrders.clear();
        session.commands.removeIf(command -> !(command instanceof AgentCommand.SendOrder));
        recordedOrders.addAll(session.commands);
    }

    private static String text(AgentCommand command) {
        if (command instanceof AgentCommand.SendOrder give) {
            return "order " + AgentSession.text(give.order()) + " under "
                    + give.order().fencingNumber();
        }
        if (command instanceof AgentCommand.Publish publish) {
            return "view " + text(publish.view());
        }
        return command.toString();
    }

    private static String text(AgentView view) {
        List<String> replicas =
                view.replicas().stream().map(AgentGoldenTest::text).toList();
        return "revision=" + view.revision() + " draining=" + view.draining() + " running=" + view.running()
                + " freeMb=" + view.freeMemoryMb() + " replicas=" + replicas;
    }

    private static String text(ReplicaView replica) {
        return replica.model() + " " + replica.phase() + " readyInMs=" + replica.readyInMs() + " adapters="
                + replica.adapters();
    }
}

package org.hawthornglade.core.agent;

import static com.google.common.truth.Truth.assertThat;
import static org.hawthornglade.core.agent.AgentSession.engineModel;
import static org.hawthornglade.core.agent.AgentSession.held;
import static org.hawthornglade.core.agent.AgentSession.row;

import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.placement.AssignmentRow;
import org.junit.jupiter.api.Test;

/** Checks that a draining agent ends its attempts, unloads its models and releases its rows within the timeout. */
final class DrainTest {
    private static final Configuration VALID = Configurations.valid();

    private static AgentSession serving() {
        AgentSession session = AgentSession.ready(VALID, held("quote", 1));
        session.report(engineModel("quote", LoadState.READY));
        session.attemptArrives("a1", "quote");
        return session;
    }

    @Test
    void modelIsUnloadedOnlyAfterRunningAttemptEnds() {
        AgentSession session = serving();
        session.deliver(new AgentEvent.DrainRequested("test"));
        session.attemptArrives("a2", "quote");
        assertThat(session.removeCommands(AgentCommand.RefuseAttempt.class)).hasSize(1);
        assertThat(session.orderTexts()).isEmpty();
        session.deliver(
                new AgentEvent.AttemptEnded(session.attempt("a1", "quote").id()));
        assertThat(session.orderTexts()).containsExactly("UNLOAD quote");
    }

    @Test
    void drainEndsWhenReleasedRowIsReadBack() {
        AgentSession session = AgentSession.ready(VALID, held("quote", 1));
        session.deliver(new AgentEvent.DrainRequested("test"));
        AssignmentRow released =
                session.removeCommands(AgentCommand.ReleaseRow.class).get(0).row();
        session.deliver(new AgentEvent.RowNotReleased(released));
        session.readRows(row("quote", AssignmentState.RELEASED, 2));
        assertThat(session.removeCommands(AgentCommand.DrainFinished.class)).hasSize(1);
        assertThat(session.removeCommands(AgentCommand.ReleaseRow.class)).isEmpty();
    }

    @Test
    void unfinishedDrainIsReportedAtItsTimeout() {
        AgentSession session = serving();
        session.deliver(new AgentEvent.DrainRequested("test"));
        session.advance(AgentLimits.defaults().drainTimeoutMs() - 1);
        assertThat(session.removeCommands(AgentCommand.DrainFinished.class)).isEmpty();
        session.advance(1);
        assertThat(session.removeCommands(AgentCommand.DrainFinished.class))
                .containsExactly(new AgentCommand.DrainFinished(false));
        session.advance(1_000);
        assertThat(session.removeCommands(AgentCommand.DrainFinished.class)).isEmpty();
    }

    @Test
    void secondDrainRequestIsAnswered() {
        AgentSession session = serving();
        session.deliver(new AgentEvent.DrainRequested("operator"));
        session.advance(AgentLimits.defaults().drainTimeoutMs());
        session.removeCommands(AgentCommand.DrainFinished.class);
        session.deliver(new AgentEvent.DrainRequested("process stopping"));
        assertThat(session.removeCommands(AgentCommand.DrainFinished.class)).isEmpty();
        session.advance(AgentLimits.defaults().drainTimeoutMs());
        assertThat(session.removeCommands(AgentCommand.DrainFinished.class)).hasSize(1);
    }

    @Test
    void drainEndsAtItsTimeoutWhileTableServiceIsDown() {
        AgentSession session = new AgentSession();
        session.report(engineModel("quote", LoadState.READY));
        session.deliver(new AgentEvent.DrainRequested("test"));
        session.advance(AgentLimits.defaults().drainTimeoutMs());
        assertThat(session.removeCommands(AgentCommand.DrainFinished.class)).hasSize(1);
    }

    @Test
    void restartedAgentDoesNotUseReleasedRow() {
        AgentSession session = AgentSession.ready(VALID, row("quote", AssignmentState.RELEASED, 3));
        session.reportDemand("quote", 1);
        assertThat(session.orderTexts()).isEmpty();
        session.readRows(held("quote", 4));
        session.reportDemand("quote", 1);
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }
}

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

/** A planned stop of an agent: what runs ends, what is loaded goes, rows are released, within a limit. */
final class DrainTest {
    private static final Configuration SOUND = Configurations.sound();

    private static AgentSession serving() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.report(engineModel("quote", LoadState.READY));
        session.arrive("a1", "quote");
        return session;
    }

    @Test
    void runningAttemptEndsBeforeTheModelGoes() {
        AgentSession session = serving();
        session.give(new AgentEvent.DrainRequested("test"));
        session.arrive("a2", "quote");
        assertThat(session.take(AgentCommand.RefuseAttempt.class)).hasSize(1);
        assertThat(session.orderTexts()).isEmpty();
        session.give(new AgentEvent.AttemptEnded(session.attempt("a1", "quote").id()));
        assertThat(session.orderTexts()).containsExactly("UNLOAD quote");
    }

    @Test
    void drainEndsWhenTheReleasedRowIsReadBack() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.give(new AgentEvent.DrainRequested("test"));
        AssignmentRow released =
                session.take(AgentCommand.ReleaseRow.class).get(0).row();
        session.give(new AgentEvent.RowNotReleased(released));
        session.read(row("quote", AssignmentState.RELEASED, 2));
        assertThat(session.take(AgentCommand.DrainFinished.class)).hasSize(1);
        assertThat(session.take(AgentCommand.ReleaseRow.class)).isEmpty();
    }

    @Test
    void drainThatDoesNotEndIsReportedAtItsLimit() {
        AgentSession session = serving();
        session.give(new AgentEvent.DrainRequested("test"));
        session.after(AgentLimits.defaults().drainTimeoutMs() - 1);
        assertThat(session.take(AgentCommand.DrainFinished.class)).isEmpty();
        session.after(1);
        assertThat(session.take(AgentCommand.DrainFinished.class))
                .containsExactly(new AgentCommand.DrainFinished(false));
        session.after(1_000);
        assertThat(session.take(AgentCommand.DrainFinished.class)).isEmpty();
    }

    @Test
    void secondRequestToDrainIsAnsweredAsWell() {
        AgentSession session = serving();
        session.give(new AgentEvent.DrainRequested("operator"));
        session.after(AgentLimits.defaults().drainTimeoutMs());
        session.take(AgentCommand.DrainFinished.class);
        session.give(new AgentEvent.DrainRequested("process stopping"));
        assertThat(session.take(AgentCommand.DrainFinished.class)).isEmpty();
        session.after(AgentLimits.defaults().drainTimeoutMs());
        assertThat(session.take(AgentCommand.DrainFinished.class)).hasSize(1);
    }

    @Test
    void drainWithTheTableServiceDownEndsAtItsLimit() {
        AgentSession session = new AgentSession();
        session.report(engineModel("quote", LoadState.READY));
        session.give(new AgentEvent.DrainRequested("test"));
        session.after(AgentLimits.defaults().drainTimeoutMs());
        assertThat(session.take(AgentCommand.DrainFinished.class)).hasSize(1);
    }

    @Test
    void restartedProcessTakesNoRowThatTheDrainedOneReleased() {
        AgentSession session = AgentSession.ready(SOUND, row("quote", AssignmentState.RELEASED, 3));
        session.demand("quote", 1);
        assertThat(session.orderTexts()).isEmpty();
        session.read(held("quote", 4));
        session.demand("quote", 1);
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }
}

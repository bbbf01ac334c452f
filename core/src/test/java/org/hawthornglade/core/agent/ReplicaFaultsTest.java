package org.hawthornglade.core.agent;

import static com.google.common.truth.Truth.assertThat;
import static org.hawthornglade.core.agent.AgentSession.engineModel;
import static org.hawthornglade.core.agent.AgentSession.held;
import static org.hawthornglade.core.agent.AgentSession.row;

import java.util.List;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The faults that loads, unloads and rows meet, each as the events that bring it about. */
final class ReplicaFaultsTest {
    private static final Configuration SOUND = Configurations.sound();
    private static final long ORDER_TIMEOUT_MS = 60_000;

    private static Configuration two() {
        return Configurations.withModels(
                1, List.of(Configurations.model("quote", 1_000, 1), Configurations.model("draft", 1_500, 1)));
    }

    private static AgentSession loaded(Configuration configuration, AssignmentRow... rows) {
        AgentSession session = AgentSession.ready(configuration, rows);
        session.demand("quote", 1);
        assertThat(session.commands.toString()).contains("LOAD, model=quote");
        session.takeAll();
        session.report(engineModel("quote", LoadState.READY));
        session.demand("quote", 0);
        return session;
    }

    @Test
    void firstOrderRaisesTheFencingNumber() {
        AgentSession session = new AgentSession();
        session.give(new AgentEvent.ConfigurationApplied(SOUND));
        session.demand("quote", 1);
        session.read(held("quote", 1));
        session.report();
        session.give(new AgentEvent.FenceTaken(4));
        assertThat(session.orderTexts()).containsExactly("FENCE");
    }

    @Test
    void nothingElseIsOrderedBeforeAReportTakenAfterTheFence() {
        AgentSession session = new AgentSession();
        session.give(new AgentEvent.ConfigurationApplied(SOUND));
        session.demand("quote", 1);
        session.read(held("quote", 1));
        session.report();
        session.give(new AgentEvent.FenceTaken(4));
        session.takeAll();
        session.reportOf(AgentSession.BOOT, 0);
        assertThat(session.orderTexts()).isEmpty();
        session.report();
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }

    @Test
    void lostFenceStopsAllOrdersForGood() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.give(new AgentEvent.FenceLost());
        session.give(new AgentEvent.FenceTaken(9));
        session.give(new AgentEvent.FenceChecked(session.nowMs));
        session.demand("quote", 1);
        session.report(engineModel("quote", LoadState.HALF_PRESENT));
        session.after(ORDER_TIMEOUT_MS);
        session.report(engineModel("quote", LoadState.HALF_PRESENT));
        assertThat(session.orderTexts()).isEmpty();
        assertThat(session.take(AgentCommand.ReleaseRow.class)).isEmpty();
    }

    @Test
    void engineRefusingTheNumberStopsAllOrders() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.demand("quote", 1);
        session.fail(session.newOrders().get(0), ResultCode.STALE_FENCING_NUMBER);
        for (int i = 0; i < 20; i++) {
            session.after(10_000);
            session.demand("quote", 1);
        }
        assertThat(session.orderTexts()).isEmpty();
    }

    @Test
    void lostLoadKeepsItsMemoryFromOthers() {
        AgentSession session = AgentSession.ready(two(), held("quote", 1), held("draft", 2));
        session.demand("quote", 1);
        EngineOrder order = session.newOrders().get(0);
        session.fail(order, ResultCode.PLATFORM_OUTCOME_UNKNOWN);
        session.report();
        session.demand("draft", 5);
        session.after(ORDER_TIMEOUT_MS);
        session.demand("draft", 5);
        assertThat(session.orderTexts()).doesNotContain("LOAD draft");
    }

    @Test
    void lostLoadFreesItsMemoryAfterANewerFence() {
        AgentSession session = AgentSession.ready(two(), held("quote", 1), held("draft", 2));
        session.demand("quote", 1);
        session.fail(session.newOrders().get(0), ResultCode.PLATFORM_OUTCOME_UNKNOWN);
        assertThat(session.take(AgentCommand.RenewFence.class)).hasSize(1);
        session.demand("draft", 1);
        session.newOrders();
        session.give(new AgentEvent.FenceTaken(2));
        session.takeAll();
        session.report();
        session.demand("draft", 1);
        assertThat(session.orderTexts()).contains("LOAD draft");
    }

    @Test
    void lostUnloadIsNotFollowedByALoadUnderTheSameNumber() {
        AgentSession session = loaded(SOUND, held("quote", 1));
        session.after(120_000);
        EngineOrder unload = session.newOrders().get(0);
        assertThat(unload.kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        session.fail(unload, ResultCode.PLATFORM_OUTCOME_UNKNOWN);
        session.after(10_000);
        session.takeAll();
        session.report();
        session.demand("quote", 3);
        assertThat(session.orderTexts()).doesNotContain("LOAD quote");
        session.give(new AgentEvent.FenceTaken(2));
        session.takeAll();
        session.report();
        session.demand("quote", 3);
        assertThat(session.orderTexts()).contains("LOAD quote");
    }

    @Test
    void restartedEngineIsFencedAnewBeforeAnyOtherOrder() {
        AgentSession session = loaded(SOUND, held("quote", 1));
        session.demand("quote", 2);
        session.reportOf(AgentSession.BOOT + 1, 0);
        assertThat(session.orderTexts()).containsExactly("FENCE");
    }

    @Test
    void restartedEngineStartsItsSequencesAnew() {
        AgentSession session = loaded(SOUND, held("quote", 1));
        session.reportOf(AgentSession.BOOT + 1, 0);
        EngineOrder fence = session.newOrders().get(0);
        session.give(new AgentEvent.OrderTaken(fence, 1, AgentSession.BOOT + 1));
        session.reportOf(AgentSession.BOOT + 1, 1);
        session.demand("quote", 1);
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }

    @Test
    void answerOfTheEngineBeforeItsRestartDoesNotBlockTheModel() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.demand("quote", 1);
        EngineOrder load = session.newOrders().get(0);
        session.reportOf(AgentSession.BOOT + 1, 0);
        session.give(new AgentEvent.OrderTaken(load, 500, AgentSession.BOOT));
        EngineOrder fence = session.newOrders().get(0);
        session.give(new AgentEvent.OrderTaken(fence, 1, AgentSession.BOOT + 1));
        session.after(10_000);
        session.reportOf(AgentSession.BOOT + 1, 1);
        session.demand("quote", 1);
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }

    /** Found by AgentPropertyTest, when answers did not name the engine run: the row went while a load was coming. */
    @Test
    void answerOfARunThatHasNotReportedYetDoesNotCountForTheOldOne() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.demand("quote", 1);
        EngineOrder load = session.newOrders().get(0);
        session.give(new AgentEvent.OrderTaken(load, session.orderSequence, AgentSession.BOOT + 1));
        session.read(row("quote", AssignmentState.RELEASING, 2));
        session.report();
        session.after(10_000);
        session.report();
        assertThat(session.take(AgentCommand.ReleaseRow.class)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = LoadState.class,
            names = {"READY", "LOADING", "HALF_PRESENT"})
    void freshProcessUnloadsWhatIsNotItsOwn(LoadState state) {
        AgentSession session = AgentSession.ready(SOUND);
        session.report(engineModel("quote", state));
        assertThat(session.orderTexts()).containsExactly("UNLOAD quote");
    }

    @Test
    void halfPresentModelIsUnloadedAndThenLoadedAgain() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.demand("quote", 1);
        session.takeAll();
        session.report(engineModel("quote", LoadState.HALF_PRESENT));
        assertThat(session.orderTexts()).containsExactly("UNLOAD quote");
    }

    @Test
    void newVersionDrainsTheOldOneFirst() {
        AgentSession session = loaded(SOUND, held("quote", 1));
        session.arrive("a1", "quote");
        ModelSpec v2 = AgentSession.withVersion(SOUND.models().get(0), "2");
        session.give(new AgentEvent.ConfigurationApplied(Configurations.withModels(2, List.of(v2))));
        assertThat(session.orderTexts()).isEmpty();
        session.arrive("a2", "quote");
        assertThat(session.take(AgentCommand.RefuseAttempt.class)).hasSize(1);
        session.give(new AgentEvent.AttemptEnded(session.attempt("a1", "quote").id()));
        assertThat(session.orderTexts()).containsExactly("UNLOAD quote");
    }

    @Test
    void loadUnderWayIsUnloadedWhenItsRowIsWantedBack() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.demand("quote", 1);
        session.takeAll();
        session.report(engineModel("quote", LoadState.LOADING));
        session.read(row("quote", AssignmentState.RELEASING, 2));
        assertThat(session.orderTexts()).containsExactly("UNLOAD quote");
        assertThat(session.take(AgentCommand.ReleaseRow.class)).isEmpty();
    }

    @Test
    void loadWhoseOrderIsStillUnansweredKeepsItsRow() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.demand("quote", 1);
        session.read(row("quote", AssignmentState.RELEASING, 2));
        session.report();
        session.after(ORDER_TIMEOUT_MS);
        session.report();
        assertThat(session.take(AgentCommand.ReleaseRow.class)).isEmpty();
    }

    @Test
    void rowIsReleasedOnlyOnAReportTakenAfterTheUnload() {
        AgentSession session = loaded(SOUND, held("quote", 1));
        session.read(row("quote", AssignmentState.RELEASING, 2));
        session.takeAll();
        session.reportOf(AgentSession.BOOT, session.orderSequence - 1);
        assertThat(session.take(AgentCommand.ReleaseRow.class)).isEmpty();
        session.report();
        assertThat(session.take(AgentCommand.ReleaseRow.class)).hasSize(1);
    }

    @Test
    void staleReadDoesNotBringAReleasedRowBack() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.read(row("quote", AssignmentState.RELEASING, 2));
        AssignmentRow released =
                session.take(AgentCommand.ReleaseRow.class).get(0).row();
        session.give(new AgentEvent.RowReleased(released));
        session.read(held("quote", 1));
        session.demand("quote", 1);
        assertThat(session.orderTexts()).isEmpty();
        session.read(held("quote", 4));
        session.demand("quote", 1);
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }

    @Test
    void rowWhoseReleaseIsInDoubtIsNotLoaded() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.read(row("quote", AssignmentState.RELEASING, 2));
        session.give(new AgentEvent.RowNotReleased(
                session.take(AgentCommand.ReleaseRow.class).get(0).row()));
        session.read(held("quote", 1));
        session.demand("quote", 1);
        assertThat(session.orderTexts()).isEmpty();
    }

    @Test
    void olderReadOfTheTableIsIgnored() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.read();
        session.give(new AgentEvent.AssignmentsRead(1, List.of(held("quote", 1))));
        session.demand("quote", 1);
        assertThat(session.orderTexts()).isEmpty();
    }

    @Test
    void reportOfDemandOnAnOldConnectionIsIgnored() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.demand("entry-2", 1, 8, "quote", 0);
        session.demand("entry-2", 1, 7, "quote", 5);
        assertThat(session.orderTexts()).isEmpty();
        session.demand("entry-2", 2, 1, "quote", 5);
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }

    @Test
    void adapterIsUnloadedBeforeItsBase() {
        AgentSession session = loaded(SOUND, held("quote", 1));
        session.report(engineModel("quote", LoadState.READY), engineModel("quote-ms", "1", "quote", LoadState.READY));
        session.read(row("quote", AssignmentState.RELEASING, 2));
        assertThat(session.orderTexts()).containsExactly("UNLOAD quote-ms");
        session.give(new AgentEvent.OrderTaken(
                new EngineOrder(
                        EngineOrder.Kind.UNLOAD,
                        SOUND.adapters().get(0).name(),
                        null,
                        SOUND.models().get(0).name(),
                        0,
                        1),
                ++session.orderSequence,
                AgentSession.BOOT));
        session.report(engineModel("quote", LoadState.READY));
        assertThat(session.orderTexts()).containsExactly("UNLOAD quote");
    }

    /** Found by AgentPropertyTest: after an earlier failure every load was ordered again when a report showed it. */
    @Test
    void loadThatAReportShowsIsNotOrderedAgain() {
        AgentSession session = loaded(SOUND, held("quote", 1));
        session.after(120_000);
        session.fail(session.newOrders().get(0), ResultCode.ENGINE_REFUSED);
        session.after(20_000);
        session.takeAll();
        session.report();
        session.demand("quote", 1);
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
        session.give(new AgentEvent.OrderTaken(
                new EngineOrder(EngineOrder.Kind.LOAD, SOUND.models().get(0).name(), "1", null, 1_000, 1),
                ++session.orderSequence,
                AgentSession.BOOT));
        session.report(engineModel("quote", LoadState.LOADING));
        session.demand("quote", 1);
        assertThat(session.orderTexts()).isEmpty();
    }

    /**
     * Found by AgentPropertyTest: a process woke just after its engine had restarted and forgotten the newer
     * number.
     */
    @Test
    void processThatWasStoppedChecksItsNumberBeforeAnOrder() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.nowMs += 10_000;
        session.demand("quote", 1);
        assertThat(session.orderTexts()).isEmpty();
        assertThat(session.take(AgentCommand.CheckFence.class)).hasSize(1);
        session.give(new AgentEvent.FenceChecked(session.nowMs));
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }

    @Test
    void engineThatIgnoresNumbersGetsNoOrderOnAnOldCheck() {
        AgentSession session = AgentSession.ready(SOUND, held("quote", 1));
        session.give(new AgentEvent.EngineReported(new EngineReport(
                session.nowMs, session.orderSequence, AgentSession.BOOT, 0, 2_000, List.of(), List.of())));
        session.after(60_000);
        session.demand("quote", 1);
        assertThat(session.orderTexts()).isEmpty();
        assertThat(session.take(AgentCommand.CheckFence.class)).hasSize(1);
        session.give(new AgentEvent.FenceChecked(session.nowMs));
        assertThat(session.orderTexts()).containsExactly("LOAD quote");
    }
}

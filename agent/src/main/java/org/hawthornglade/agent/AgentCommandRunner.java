package org.hawthornglade.agent;

import java.util.Optional;
import java.util.function.Consumer;
import org.hawthornglade.agent.attempt.AttemptDesk;
import org.hawthornglade.agent.control.ViewBoard;
import org.hawthornglade.core.agent.AgentCommand;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.event.Timeline;

/** Carries out an agent's commands; nothing here blocks. */
public final class AgentCommandRunner implements Consumer<AgentCommand> {
    private final AttemptDesk desk;
    private final ViewBoard views;
    private final Timeline timeline;
    private final Consumer<EngineOrder> orders;
    private final Consumer<Assignment> releases;
    private final Runnable drained;

    /**
     * Creates a runner.
     *
     * @param desk takes the decisions on attempts
     * @param views shows the agent's view
     * @param timeline records events
     * @param orders gives the engine an order
     * @param releases releases a row in the table service
     * @param drained called once when a drain has finished
     */
    public AgentCommandRunner(
            AttemptDesk desk,
            ViewBoard views,
            Timeline timeline,
            Consumer<EngineOrder> orders,
            Consumer<Assignment> releases,
            Runnable drained) {
        this.desk = desk;
        this.views = views;
        this.timeline = timeline;
        this.orders = orders;
        this.releases = releases;
        this.drained = drained;
    }

    @Override
    public void accept(AgentCommand command) {
        if (command instanceof AgentCommand.StartAttempt start) {
            desk.decided(start.attempt(), Optional.empty());
        } else if (command instanceof AgentCommand.RefuseAttempt refuse) {
            desk.decided(refuse.attempt(), Optional.of(refuse.failure()));
        } else if (command instanceof AgentCommand.AnswerCancel answer) {
            desk.cancelled(answer.attempt(), answer.result());
        } else if (command instanceof AgentCommand.StopAttempt stop) {
            desk.stop(stop.attempt());
        } else if (command instanceof AgentCommand.GiveOrder give) {
            orders.accept(give.order());
        } else if (command instanceof AgentCommand.ReleaseRow release) {
            releases.accept(release.assignment());
        } else if (command instanceof AgentCommand.Publish publish) {
            views.show(publish.view());
        } else if (command instanceof AgentCommand.RecordEvent record) {
            timeline.record(record.event());
        } else if (command instanceof AgentCommand.DrainFinished) {
            drained.run();
        }
    }
}

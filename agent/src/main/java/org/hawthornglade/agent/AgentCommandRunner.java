package org.hawthornglade.agent;

import java.util.Optional;
import java.util.function.Consumer;
import org.hawthornglade.agent.attempt.AttemptRegistry;
import org.hawthornglade.agent.control.ViewPublisher;
import org.hawthornglade.core.agent.AgentCommand;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.placement.AssignmentRow;

/** Executes an agent's commands without blocking. */
public final class AgentCommandRunner implements Consumer<AgentCommand> {
    private final InstanceId instance;
    private final AttemptRegistry attempts;
    private final ViewPublisher views;
    private final Timeline timeline;
    private final Consumer<EngineOrder> orders;
    private final Consumer<AssignmentRow> releases;
    private final Runnable fenceChecks;
    private final Runnable fenceRenewals;
    private final Consumer<Boolean> drained;

    /**
     * Creates a runner.
     *
     * @param instance the agent's instance, set in events that name no other
     * @param attempts receives the decisions on attempts
     * @param views publishes the agent's view
     * @param timeline records events
     * @param orders sends an order to the engine
     * @param releases releases a row in the table service
     * @param fenceChecks checks the fencing number in the table service
     * @param fenceRenewals takes a newer fencing number
     * @param drained called when a drain has ended, with whether it completed within its time limit
     */
    public AgentCommandRunner(
            InstanceId instance,
            AttemptRegistry attempts,
            ViewPublisher views,
            Timeline timeline,
            Consumer<EngineOrder> orders,
            Consumer<AssignmentRow> releases,
            Runnable fenceChecks,
            Runnable fenceRenewals,
            Consumer<Boolean> drained) {
        this.instance = instance;
        this.attempts = attempts;
        this.views = views;
        this.timeline = timeline;
        this.orders = orders;
        this.releases = releases;
        this.fenceChecks = fenceChecks;
        this.fenceRenewals = fenceRenewals;
        this.drained = drained;
    }

    @Override
    public void accept(AgentCommand command) {
        if (command instanceof AgentCommand.StartAttempt start) {
            attempts.onStartDecision(start.attempt(), Optional.empty());
        } else if (command instanceof AgentCommand.RefuseAttempt refuse) {
            attempts.onStartDecision(refuse.attempt(), Optional.of(refuse.failure()));
        } else if (command instanceof AgentCommand.AnswerCancel answer) {
            attempts.onCancelResult(answer.attempt(), answer.result());
        } else if (command instanceof AgentCommand.StopAttempt stop) {
            attempts.stop(stop.attempt());
        } else if (command instanceof AgentCommand.SendOrder send) {
            orders.accept(send.order());
        } else if (command instanceof AgentCommand.ReleaseRow release) {
            releases.accept(release.row());
        } else if (command instanceof AgentCommand.Publish publish) {
            views.publish(publish.view());
        } else if (command instanceof AgentCommand.RecordEvent record) {
            timeline.record(record.event().instanceIfAbsent(instance));
        } else if (command instanceof AgentCommand.CheckFence) {
            fenceChecks.run();
        } else if (command instanceof AgentCommand.RenewFence) {
            fenceRenewals.run();
        } else if (command instanceof AgentCommand.DrainFinished finished) {
            drained.accept(finished.complete());
        }
    }
}

package org.hawthornglade.entry;

import java.util.function.Consumer;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.entry.attempt.OpenAttempts;
import org.hawthornglade.entry.attempt.PendingRequests;
import org.hawthornglade.entry.control.AgentLinks;

/** Carries out an entry's commands; nothing here blocks. */
public final class EntryCommandRunner implements Consumer<EntryCommand> {
    private final PendingRequests pending;
    private final OpenAttempts openAttempts;
    private final AgentLinks links;
    private final Timeline timeline;
    private final Runnable onStopped;

    /**
     * Creates a runner.
     *
     * @param pending takes the decisions on requests
     * @param open the attempts that can be broken off
     * @param links reaches agents
     * @param timeline records events
     * @param stopped called once when no request is left after a stop was asked for
     */
    public EntryCommandRunner(
            PendingRequests pending, OpenAttempts open, AgentLinks links, Timeline timeline, Runnable stopped) {
        this.pending = pending;
        this.openAttempts = open;
        this.links = links;
        this.timeline = timeline;
        this.onStopped = stopped;
    }

    @Override
    public void accept(EntryCommand command) {
        if (command instanceof EntryCommand.Dispatch dispatch) {
            pending.deliver(dispatch.request(), dispatch);
        } else if (command instanceof EntryCommand.Refuse refuse) {
            pending.deliver(refuse.request(), refuse);
        } else if (command instanceof EntryCommand.CancelAttempt giveUp) {
            openAttempts.abort(giveUp.attempt());
        } else if (command instanceof EntryCommand.StopAtAgent abandon) {
            links.abandon(abandon.instance(), abandon.attempt());
        } else if (command instanceof EntryCommand.PublishDemand publish) {
            links.updateDemand(publish.demand());
        } else if (command instanceof EntryCommand.RecordEvent record) {
            timeline.record(record.event());
        } else if (command instanceof EntryCommand.StopFinished) {
            onStopped.run();
        }
    }
}

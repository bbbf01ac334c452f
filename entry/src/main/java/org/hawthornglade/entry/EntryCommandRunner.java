package org.hawthornglade.entry;

import java.util.function.Consumer;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.entry.attempt.OpenAttempts;
import org.hawthornglade.entry.attempt.PendingRequests;
import org.hawthornglade.entry.control.AgentLinks;

/** Executes the commands of an entry's decider without blocking. */
public final class EntryCommandRunner implements Consumer<EntryCommand> {
    private final PendingRequests pending;
    private final OpenAttempts openAttempts;
    private final AgentLinks links;
    private final Timeline timeline;
    private final Runnable onStopped;

    /**
     * Creates a runner.
     *
     * @param pending receives the decisions on requests
     * @param openAttempts the attempts whose responses can be aborted
     * @param links the links to agents
     * @param timeline records events
     * @param onStopped called once when no request is left after a stop was requested
     */
    public EntryCommandRunner(
            PendingRequests pending,
            OpenAttempts openAttempts,
            AgentLinks links,
            Timeline timeline,
            Runnable onStopped) {
        this.pending = pending;
        this.openAttempts = openAttempts;
        this.links = links;
        this.timeline = timeline;
        this.onStopped = onStopped;
    }

    @Override
    public void accept(EntryCommand command) {
        if (command instanceof EntryCommand.Dispatch dispatch) {
            pending.deliver(dispatch.request(), dispatch);
        } else if (command instanceof EntryCommand.Refuse refuse) {
            pending.deliver(refuse.request(), refuse);
        } else if (command instanceof EntryCommand.CancelAttempt cancel) {
            openAttempts.abort(cancel.attempt());
        } else if (command instanceof EntryCommand.StopAtAgent stop) {
            links.abandon(stop.instance(), stop.attempt());
        } else if (command instanceof EntryCommand.PublishDemand publish) {
            links.updateDemand(publish.demand());
        } else if (command instanceof EntryCommand.RecordEvent record) {
            timeline.record(record.event());
        } else if (command instanceof EntryCommand.StopFinished) {
            onStopped.run();
        }
    }
}

package org.hawthornglade.agent;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.transport.TTransportException;
import org.hawthornglade.agent.assignment.TableWatcher;
import org.hawthornglade.agent.attempt.AttemptRegistry;
import org.hawthornglade.agent.control.ControlContext;
import org.hawthornglade.agent.control.ControlServer;
import org.hawthornglade.agent.control.ViewPublisher;
import org.hawthornglade.agent.endpoint.EndpointPoller;
import org.hawthornglade.agent.endpoint.EnginePoller;
import org.hawthornglade.core.agent.AgentCommand;
import org.hawthornglade.core.agent.AgentDecider;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.node.loop.DecisionLoop;
import org.hawthornglade.node.loop.EventQueue;
import org.hawthornglade.node.loop.PeriodicTasks;

/** Starts the components of an agent in order, drains it before a stop, and stops them. */
@Singleton
public final class AgentProcess implements Managed {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final long DRAIN_MARGIN_MS = 1_000;

    private final AgentSettings settings;
    private final EventQueue<AgentEvent> events;
    private final EndpointPoller endpoint;
    private final TableWatcher table;
    private final Timeline timeline;
    private final ControlServer control;
    private final DecisionLoop<AgentEvent, AgentCommand> loop;
    private final PeriodicTasks endpointTasks = new PeriodicTasks("endpoint");
    private final PeriodicTasks tableTasks = new PeriodicTasks("table");
    private volatile CountDownLatch drained = new CountDownLatch(1);

    /** Creates the components; {@link #start} starts them. */
    @Inject
    public AgentProcess(
            AgentSettings settings,
            EventQueue<AgentEvent> events,
            AgentDecider decider,
            Clock clock,
            AttemptRegistry attempts,
            ViewPublisher views,
            Timeline timeline,
            EnginePoller engine,
            EndpointPoller endpoint,
            TableWatcher table,
            ControlContext controlContext) {
        this.settings = settings;
        this.events = events;
        this.endpoint = endpoint;
        this.table = table;
        this.timeline = timeline;
        this.control = new ControlServer(
                controlContext, new InetSocketAddress(settings.getControlHost(), settings.getControlPort()));
        AgentCommandRunner runner = new AgentCommandRunner(
                InstanceId.of(settings.getInstanceId()),
                attempts,
                views,
                timeline,
                engine::send,
                row -> tableTasks.runOnce(() -> table.release(row)),
                () -> tableTasks.runOnce(table::checkFence),
                () -> tableTasks.runOnce(table::renewFence),
                this::onDrainFinished);
        this.loop = new DecisionLoop<>(
                "agent-decisions", events, decider, clock, runner, new AgentEvent.Tick(), settings.getTickMs());
    }

    @Override
    public void start() throws TTransportException {
        timeline.record(EventDraft.of(EventKind.PROCESS_STARTED).instance(settings.getInstanceId()));
        loop.start();
        endpointTasks.runRepeatedly(settings.getReportIntervalMs(), endpoint::poll);
        tableTasks.runRepeatedly(settings.getPlatform().getTableReadIntervalMs(), table::poll);
        control.start();
    }

    /**
     * Rejects new attempts and waits until the running ones have ended, at most for the configured drain timeout.
     *
     * <p>The HTTP server must keep running meanwhile, as it sends the answers in progress.
     */
    public void drain() {
        CountDownLatch ended = new CountDownLatch(1);
        drained = ended;
        timeline.record(EventDraft.of(EventKind.PROCESS_STOPPING).instance(settings.getInstanceId()));
        events.submit(new AgentEvent.DrainRequested("process stopping"));
        try {
            // The decision loop reports a drain timeout itself; the margin only covers a loop that has stopped.
            if (!ended.await(settings.getDrainTimeoutMs() + DRAIN_MARGIN_MS, TimeUnit.MILLISECONDS)) {
                LOG.atSevere().log("event=drain_unanswered limit_ms=%d", settings.getDrainTimeoutMs());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onDrainFinished(boolean complete) {
        if (complete) {
            LOG.atInfo().log("event=drain_finished");
        } else {
            LOG.atWarning().log("event=drain_timeout limit_ms=%d", settings.getDrainTimeoutMs());
        }
        drained.countDown();
    }

    @Override
    public void stop() {
        control.stop();
        endpointTasks.close();
        tableTasks.close();
        loop.close();
    }
}

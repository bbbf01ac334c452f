package org.hawthornglade.entry.control;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TException;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.config.ConfigurationJson;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.node.wire.WireMapper;
import org.hawthornglade.protocol.gen.AgentReport;
import org.hawthornglade.protocol.gen.CancelOutcome;
import org.hawthornglade.protocol.gen.ConfigurationSnapshot;
import org.hawthornglade.protocol.gen.EntryReport;

/** Keeps a control connection to one agent: exchanges reports and reconnects with a growing, jittered delay. */
final class AgentLink implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long MIN_RECONNECT_MS = 100;
    private static final long MAX_RECONNECT_MS = 2_000;
    private static final long NO_REVISION = -1;

    private final AgentAddress address;
    private final LinkContext context;
    private final Thread thread;
    private final DemandPusher pusher;
    private final CommandChannel commands;
    private final AttemptCanceller canceller;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final AtomicLong sequence = new AtomicLong();
    private volatile AgentConnection connection;

    AgentLink(AgentAddress address, LinkContext context) {
        this.address = address;
        this.context = context;
        this.commands = new CommandChannel(address, context);
        this.canceller = new AttemptCanceller("cancel-" + address.instance(), new CommandChannel(address, context));
        this.pusher = new DemandPusher("demand-" + address.instance(), this::push);
        this.thread = new Thread(this::run, "link-" + address.instance());
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
        pusher.start();
    }

    AgentAddress address() {
        return address;
    }

    /** Sets the demand that is reported to the agent. */
    void updateDemand(List<ModelDemand> demand) {
        pusher.update(demand);
    }

    /** Cancels an attempt and waits for the agent's confirmation, for at most {@code waitMs} milliseconds. */
    Either<Failure, CancelOutcome> cancel(AttemptId attempt, long waitMs) {
        return canceller.cancel(attempt, waitMs);
    }

    /** Cancels an attempt in the background. */
    void abandon(AttemptId attempt) {
        canceller.abandon(attempt);
    }

    /** Calls the agent on a connection separate from the exchange of reports. */
    <T> Either<Failure, T> call(CommandChannel.Command<T> command) {
        return commands.call(command);
    }

    @Override
    public void close() {
        closed.countDown();
        pusher.close();
        canceller.close();
        AgentConnection open = connection;
        if (open != null) {
            open.close();
        }
        commands.close();
    }

    private void run() {
        long reconnectMs = MIN_RECONNECT_MS;
        boolean running = true;
        while (running) {
            boolean exchanged = exchangeReports();
            reconnectMs = exchanged ? MIN_RECONNECT_MS : Math.min(MAX_RECONNECT_MS, reconnectMs * 2);
            running = waitUnlessClosed(context.jitter().applyAsLong(reconnectMs));
        }
    }

    /** Exchanges reports until the connection fails; returns whether at least one exchange succeeded. */
    private boolean exchangeReports() {
        boolean reported = false;
        try (AgentConnection open =
                AgentConnection.open(address, context.entryId(), context.keys(), context.silenceTimeoutMs())) {
            connection = open;
            long seenRevision = NO_REVISION;
            while (closed.getCount() > 0) {
                AgentReport report = open.client().exchange(entryReport(seenRevision, context.heartbeatMs()));
                if (!reported) {
                    reported = true;
                    record(EventKind.PEER_CONNECTED);
                }
                seenRevision = report.getRevision();
                context.events().accept(new EntryEvent.AgentReported(WireMapper.fromWire(report)));
                synchronizeConfiguration(open, report.getConfigVersion());
            }
        } catch (TException | IllegalArgumentException e) {
            LOG.atFine().withCause(e).log("event=link_failed instance=%s", address.instance());
        }
        connection = null;
        if (reported) {
            context.events().accept(new EntryEvent.AgentLost(address.instance()));
            record(EventKind.PEER_LOST);
        }
        return reported;
    }

    private void push() {
        // If this call fails, the next regular exchange reports the demand.
        commands.call(client -> client.exchange(entryReport(NO_REVISION, 0)));
    }

    private EntryReport entryReport(long seenRevision, long waitMs) {
        return new EntryReport(
                context.entryId(),
                context.bootId(),
                sequence.incrementAndGet(),
                context.configuration().current().version(),
                pusher.latest().stream().map(WireMapper::toWire).toList(),
                seenRevision,
                waitMs,
                false);
    }

    /** Updates the side with the older configuration: offers it to the agent, or fetches it from the agent. */
    private void synchronizeConfiguration(AgentConnection open, long agentVersion) throws TException {
        ConfigurationHolder holder = context.configuration();
        Configuration current = holder.current();
        if (agentVersion < current.version()) {
            open.client()
                    .offerConfiguration(new ConfigurationSnapshot(current.version(), ConfigurationJson.write(current)));
        } else if (agentVersion > current.version()) {
            ConfigurationSnapshot snapshot = open.client().fetchConfiguration();
            ConfigurationJson.read(snapshot.getJson()).peek(holder::offer);
        }
    }

    /** Waits; returns false if the link was closed meanwhile. */
    private boolean waitUnlessClosed(long waitMs) {
        try {
            return !closed.await(waitMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    private void record(EventKind kind) {
        context.timeline().record(EventDraft.of(kind).instance(address.instance()));
    }
}

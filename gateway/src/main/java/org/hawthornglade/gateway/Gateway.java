package org.hawthornglade.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import org.hawthornglade.core.dispatch.CallScreen;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Dispatcher;
import org.hawthornglade.core.dispatch.FirstTokenSelector;
import org.hawthornglade.core.dispatch.LeastLoadedSelector;
import org.hawthornglade.core.dispatch.StreamGate;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.limit.EntryCount;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.quota.QuotaClient;
import org.hawthornglade.core.serving.ConfigurationInForce;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.core.serving.ServiceDefinition;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.stop.OpenWork;
import org.hawthornglade.core.stop.StopStep;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.exchange.CallReceiver;
import org.hawthornglade.gateway.exchange.CrashDetector;
import org.hawthornglade.gateway.exchange.EndpointConnections;
import org.hawthornglade.gateway.exchange.EngineStartCheck;
import org.hawthornglade.gateway.exchange.ExchangeContext;
import org.hawthornglade.gateway.exchange.OverloadControl;
import org.hawthornglade.gateway.exchange.QuarantineLog;
import org.hawthornglade.gateway.exchange.QuotaGate;
import org.hawthornglade.gateway.exchange.ResponseBufferBudget;
import org.hawthornglade.gateway.exchange.RetryBudgets;
import org.hawthornglade.gateway.exchange.WaitingCalls;
import org.hawthornglade.gateway.http.CallerPressureLog;
import org.hawthornglade.gateway.http.CallerResources;
import org.hawthornglade.gateway.http.CallerServer;
import org.hawthornglade.gateway.http.IncomingCall;
import org.hawthornglade.gateway.leader.DemandCollector;
import org.hawthornglade.gateway.leader.PlacementCoordinator;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.log.LogLine;
import org.hawthornglade.gateway.loop.LoopContext;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.memory.BodyPressureLog;
import org.hawthornglade.gateway.memory.RequestBodyBudget;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.CallProtocol;
import org.hawthornglade.gateway.port.EngineControl;
import org.hawthornglade.gateway.port.LeaseStore;
import org.hawthornglade.gateway.port.StoreFeeds;
import org.hawthornglade.gateway.port.StoreListener;
import org.hawthornglade.gateway.port.StreamStore;
import org.hawthornglade.gateway.resumption.StreamResumption;

/** Runs one entry: its servers, its view of the fleet and its exchanges, all on one event loop. */
public final class Gateway implements StoreListener {
    /** Interval at which waiting calls are reconsidered if nothing has changed. */
    private static final long WAITING_CHECK_INTERVAL_MS = 50;
    /** Path of the metrics on the readiness address. */
    private static final String METRICS_PATH = "/metrics";
    /** Recording of metrics starts this long after the start of the entry. */
    private static final long METRICS_START_DELAY_MS = 3_000;
    /** Limit for the time in which the log writes its last lines. */
    private static final long LOG_FLUSH_MS = 200;
    /** The retry budget is divided by at least this number of entries. */
    private static final int MIN_BUDGET_PARTS = 8;

    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final CallProtocol protocol;
    private final Fleet fleet = new Fleet();
    private final GatewayMetrics metrics;
    private final WaitingCalls waitingCalls = new WaitingCalls();
    private final EndpointConnections connections;
    private final QuotaGate quotaGate;
    private final PlacementCoordinator placement;
    private final Pacing pacing;
    private final StreamResumption resumption;
    private final CallReceiver receiver;
    private final RequestBodyBudget bodies;
    private final CallerResources resources;
    private final CallerServer callers;
    private final CallerServer readiness;
    private final RetryBudgets retryBudgets;
    private volatile GatewaySettings settings;
    private final ConfigurationInForce configuration = new ConfigurationInForce();
    private volatile boolean stopping;
    private final EntryCount entryCount = new EntryCount();

    /** Creates an entry that does not listen yet. */
    public Gateway(
            GatewaySettings settings,
            LoopContext context,
            CallProtocol protocol,
            EndpointConnections connections,
            LeaseStore leaseStore,
            StreamStore streamStore,
            EngineControl control,
            GatewayMetrics metrics) {
        this.timers = context.timers();
        this.clock = context.clock();
        this.log = context.log();
        this.metrics = metrics;
        this.settings = settings;
        this.protocol = protocol;
        this.connections = connections;
        PromptQuarantine quarantine = new PromptQuarantine(settings.node(), new QuarantineLog(log, metrics));
        DemandCollector collector = new DemandCollector(settings.node(), fleet, waitingCalls);
        QuotaClient quotaClient =
                new QuotaClient(settings.quotaTolerance(), context.wallClock().nowMs());
        this.quotaGate = new QuotaGate(quotaClient, timers, clock, log, metrics);
        this.placement = new PlacementCoordinator(
                settings,
                context,
                fleet,
                waitingCalls,
                collector,
                leaseStore,
                control,
                quarantine,
                quotaClient,
                quotaGate::onAnswer,
                metrics);
        quotaGate.onAsk(placement::reportQuotas);
        waitingCalls.onDemandChanged(placement::demandChanged);
        waitingCalls.setOverloadControl(
                new OverloadControl(settings.loadControl().overloadAdmission(), entryCount::entries, fleet, clock));
        placement.onEntryCount(this::onEntryCount);
        this.retryBudgets = new RetryBudgets(retryShare(settings), retryBurst(settings));
        this.resumption = new StreamResumption(
                fleet, streamStore, timers, clock, log, metrics, new Random(), waitingCalls::reconsider);
        this.pacing = new Pacing(settings.loadControl().pacingRules(), entryCount::entries, new Random());
        ExchangeContext exchanges = new ExchangeContext(
                timers,
                clock,
                fleet,
                dispatcher(settings, quarantine, resumption.gate()),
                connections,
                waitingCalls,
                new ResponseBufferBudget(),
                retryBudgets,
                quarantine,
                quotaGate,
                resumption,
                new EngineStartCheck(control, this::runsModels),
                new CrashDetector(timers, clock, connections, quarantine),
                pacing,
                protocol,
                log,
                metrics);
        this.receiver =
                new CallReceiver(exchanges, configuration::current, call -> onCall(collector, call), new Random());
        this.bodies = RequestBodyBudget.ofEntry(clock, new BodyPressureLog(clock, log, metrics));
        this.resources = new CallerResources(settings.callerLimits(), new CallerPressureLog(clock, log, metrics));
        CallerServer.LoopAccess access = new CallerServer.LoopAccess(context.loop(), timers, clock);
        this.callers = CallerServer.ofCallers(access, this::limits, receiver, bodies, resources);
        this.readiness = CallerServer.ofReadiness(access, this::answerReadiness, bodies, resources);
    }

    private void onCall(DemandCollector collector, CallView call) {
        collector.onCall(call);
        call.demand().ifPresent(demand -> pacing.onCall(call.service(), demand.kvTokens()));
    }

    private Dispatcher dispatcher(GatewaySettings source, CallScreen screen, StreamGate streamGate) {
        return new Dispatcher(
                fleet,
                new LeastLoadedSelector(source.failureDomain(), pacing),
                new FirstTokenSelector(source.failureDomain(), this::engine, pacing),
                screen,
                streamGate);
    }

    private static double retryShare(GatewaySettings source) {
        return source.retryShare() / 2;
    }

    private double retryBurst(GatewaySettings source) {
        return Math.max(1, source.retryBurst() / Math.max(MIN_BUDGET_PARTS, entryCount.entries()));
    }

    private void onEntryCount(int reported) {
        int previous = entryCount.entries();
        entryCount.onReported(reported, clock.nowMs());
        resumption.onEntryCount(entryCount.entries());
        if (entryCount.entries() != previous) {
            retryBudgets.updateLimits(retryShare(settings), retryBurst(settings));
        }
    }

    /** Starts listening and watching the store; must not be called on the event loop. */
    public void start(StoreFeeds feeds) {
        callers.listen(settings.callerAddress());
        placement.onLeadingChanged(leading -> {
            feeds.setUrgent(leading);
            resumption.onLeading(leading);
        });
        placement.onStoreEraReported(feeds::onStoreEra);
        placement.start();
        readiness.listen(settings.readinessAddress());
        timers.run(() -> feeds.start(this));
        timers.run(resumption::start);
        timers.every(WAITING_CHECK_INTERVAL_MS, this::checkPeriodically);
        timers.after(METRICS_START_DELAY_MS, metrics::start);
        log.event("start")
                .with("node", settings.node())
                .with("callers", settings.callerAddress())
                .write();
    }

    /** Applies the limits of changed settings; other changes take effect at the next start. */
    public void reload(GatewaySettings changed) {
        GatewaySettings applied = settings.withLimitsOf(changed);
        settings = applied;
        timers.run(() -> retryBudgets.updateLimits(retryShare(applied), retryBurst(applied)));
        log.event("reload").with("restart_needed", !applied.equals(changed)).write();
    }

    /**
     * Stops gracefully, without interrupting open calls, and returns; must not be called on the event loop.
     *
     * @param requestedAtMs when the stop was requested; the process is killed at the end of the grace from then
     */
    public void stop(long requestedAtMs) {
        StoppingEntry entry = new StoppingEntry(requestedAtMs);
        GracefulStop stop = new GracefulStop(timers, clock, requestedAtMs, settings.graceMs(), entry);
        stop.start();
        if (!stop.awaitEnd()) {
            logOverdue(stop.lastLook());
        }
        log.flush(LOG_FLUSH_MS);
    }

    private void logOverdue(GracefulStop.Look lastLook) {
        LogLine line = log.event("stop-overdue")
                .with("grace_ms", settings.graceMs())
                .with("look_ms_ago", clock.nowMs() - lastLook.atMs());
        logOpen(line, lastLook.open()).write();
    }

    private static LogLine logOpen(LogLine line, OpenWork open) {
        return line.with("calls", open.calls())
                .with("partial_requests", open.partialRequests())
                .with("undelivered_responses", open.undeliveredResponses());
    }

    private void checkPeriodically() {
        fleet.expire(clock.nowMs());
        metrics.set("request_body_bytes", (int) bodies.reservedBytes());
        metrics.set("request_bodies_waiting", bodies.waiting());
        metrics.set("request_head_bytes", (int) resources.headBytes());
        if (!waitingCalls.isEmpty()) {
            waitingCalls.reconsider();
        }
    }

    private void answerReadiness(IncomingCall call) {
        if (call.head().uri().equals(METRICS_PATH)) {
            ByteBuf text = Unpooled.copiedBuffer(metrics.text(), StandardCharsets.UTF_8);
            call.response().send(HttpResponseStatus.OK, new DefaultHttpHeaders(), text);
            return;
        }
        boolean known = call.head().uri().equals(protocol.readinessPath());
        HttpResponseStatus unready = known ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.NOT_FOUND;
        HttpResponseStatus status = known && ready() ? HttpResponseStatus.OK : unready;
        call.response().send(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private boolean ready() {
        return !stopping && configuration.current().isPresent() && fleet.listLoaded();
    }

    private RequestLimits limits() {
        return configuration.current().map(ServingConfiguration::limits).orElse(RequestLimits.DEFAULT);
    }

    private boolean runsModels(ServiceName service) {
        return engineOf(service).isPresent();
    }

    private EngineDefinition engine(ServiceName service) {
        return engineOf(service).orElseThrow();
    }

    private Optional<EngineDefinition> engineOf(ServiceName service) {
        return configuration
                .current()
                .flatMap(known -> known.service(service))
                .flatMap(definition -> definition.engine());
    }

    @Override
    public void onStoreRestored(StoreEra era) {
        fleet.onListRestored(clock.nowMs());
        placement.onStoreRestored(era);
        resumption.onStoreRestored();
    }

    @Override
    public void onConfiguration(ServingConfiguration received) {
        if (!configuration.onRead(received)) {
            return;
        }
        log.event("config").with("version", received.version()).write();
        SharedKeyLog.write(log, received);
        placement.onConfiguration(received);
        resumption.onServices(
                received.services().stream().map(ServiceDefinition::name).collect(Collectors.toSet()));
        receiver.releaseStartupQueue();
        waitingCalls.reconsider();
    }

    @Override
    public void onInstances(Collection<InstanceRecord> records) {
        fleet.onSnapshot(records, clock.nowMs());
        resumption.onListReachable();
        log.event("instances").with("count", records.size()).write();
        receiver.releaseStartupQueue();
        fleetChanged();
    }

    @Override
    public void onInstance(InstanceRecord record) {
        fleet.onChanged(record, clock.nowMs());
        log.event("instance")
                .with("id", record.id())
                .with("service", record.service())
                .with("version", record.softwareVersion())
                .with("leaving", record.leaving())
                .with("born", record.bornMs())
                .with("seq", record.recordSequence())
                .with("models", record.models())
                .with("memory", record.inMemory())
                .with("disk", record.onDisk())
                .write();
        fleetChanged();
    }

    @Override
    public void onInstanceRemoved(InstanceId id) {
        fleet.onRemoved(id, clock.nowMs());
        log.event("instance-removed").with("id", id).write();
        fleetChanged();
    }

    @Override
    public void onListReachable() {
        fleet.onListReachable(clock.nowMs());
        resumption.onListReachable();
        log.event("list-reachable").write();
    }

    @Override
    public void onListUnreachable(String reason) {
        fleet.onListLost();
        resumption.onListUnreachable();
        log.event("list-lost").with("reason", reason).write();
    }

    private void fleetChanged() {
        connections.retainPresent(fleet.all());
        placement.fleetChanged();
        resumption.fleetChanged();
        waitingCalls.reconsider();
    }

    /** This entry as its stop sees it. */
    private final class StoppingEntry implements GracefulStop.Entry {
        private final long startMs;

        StoppingEntry(long startMs) {
            this.startMs = startMs;
        }

        @Override
        public OpenWork openWork() {
            return callers.openWork();
        }

        @Override
        public void perform(StopStep step, OpenWork open) {
            switch (step) {
                case LEAVE_ROTATION -> leaveRotation();
                case REFUSE -> refuse();
                case FAIL -> fail();
                case CLOSE -> callers.close();
                case END -> end();
            }
        }

        private void leaveRotation() {
            log.onStop(startMs);
            logOpen(log.event("stopping"), callers.openWork()).write();
            receiver.logOpenCalls();
            stopping = true;
            callers.startDraining();
            placement.resign();
        }

        private void refuse() {
            logOpen(log.event("stop-refusing"), callers.openWork()).write();
            receiver.logOpenCalls();
            quotaGate.refuseHeld();
            waitingCalls.refuseAll();
            callers.startRefusing();
        }

        private void fail() {
            logOpen(log.event("stop-failing"), callers.openWork()).write();
            receiver.failOpenCalls();
            callers.refusePartial();
        }

        private void end() {
            callers.stopReading();
            callers.reportCutByStop();
            LogLine line = log.event("stop").with("took_ms", clock.nowMs() - startMs);
            receiver.addUnidentified(logOpen(line, callers.openWork())).write();
        }
    }
}

package org.hawthornglade.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.hawthornglade.core.dispatch.Dispatcher;
import org.hawthornglade.core.dispatch.FirstTokenSelector;
import org.hawthornglade.core.dispatch.LeastLoadedSelector;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.limit.EntryCount;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.exchange.CallEntrance;
import org.hawthornglade.gateway.exchange.EndpointLinks;
import org.hawthornglade.gateway.exchange.ExchangeContext;
import org.hawthornglade.gateway.exchange.HeldBytes;
import org.hawthornglade.gateway.exchange.RetryBudgets;
import org.hawthornglade.gateway.exchange.WaitingCalls;
import org.hawthornglade.gateway.http.CallerServer;
import org.hawthornglade.gateway.http.IncomingCall;
import org.hawthornglade.gateway.leader.DemandCollector;
import org.hawthornglade.gateway.leader.PlacementStar;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.LoopContext;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.CallProtocol;
import org.hawthornglade.gateway.port.EngineControl;
import org.hawthornglade.gateway.port.LeaseStore;
import org.hawthornglade.gateway.port.StoreFeeds;
import org.hawthornglade.gateway.port.StoreListener;

/** One entry: its servers, its view of the fleet and its exchanges, all on one event loop. */
public final class Gateway implements StoreListener {
    /** How often calls that wait are looked at when nothing has changed. */
    private static final long WAITING_CHECK_MS = 50;
    /** Where the readiness address serves metrics. */
    private static final String METRICS_PATH = "/metrics";
    /** Counting begins this long after the start. */
    private static final long METRICS_AFTER_MS = 3_000;
    /** How long the log has to write its last lines. */
    private static final long LAST_LINES_MS = 20;
    /** The retry budget is shared by this many entries at least. */
    private static final int LEAST_BUDGET_PARTS = 8;

    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final CallProtocol protocol;
    private final Fleet fleet = new Fleet();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final WaitingCalls waiting = new WaitingCalls();
    private final EndpointLinks links;
    private final PlacementStar star;
    private final CallEntrance entrance;
    private final CallerServer callers;
    private final CallerServer readiness;
    private final RetryBudgets budgets;
    private volatile GatewaySettings settings;
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private volatile boolean stopping;
    private final EntryCount entries = new EntryCount();

    /** Puts an entry together; nothing listens yet. */
    public Gateway(
            GatewaySettings settings,
            LoopContext context,
            CallProtocol protocol,
            EndpointLinks links,
            LeaseStore leaseStore,
            EngineControl control) {
        this.timers = context.timers();
        this.clock = context.clock();
        this.log = context.log();
        this.settings = settings;
        this.protocol = protocol;
        this.links = links;
        DemandCollector collector = new DemandCollector(settings.node(), fleet, waiting);
        this.star = new PlacementStar(settings, context, fleet, waiting, collector, leaseStore, control, metrics);
        waiting.onNewCall(star::demandChanged);
        star.onEntries(this::shareBudget);
        this.budgets = new RetryBudgets(retryShare(settings), retryBurst(settings));
        ExchangeContext exchanges = new ExchangeContext(
                timers,
                clock,
                fleet,
                dispatcher(settings),
                links,
                waiting,
                new HeldBytes(),
                budgets,
                protocol,
                log,
                metrics);
        this.entrance = new CallEntrance(exchanges, () -> configuration, collector::onCall, new Random());
        this.callers = new CallerServer(context.loop(), timers, clock, this::limits, entrance);
        this.readiness =
                new CallerServer(context.loop(), timers, clock, () -> RequestLimits.DEFAULT, this::answerReadiness);
    }

    private Dispatcher dispatcher(GatewaySettings from) {
        return new Dispatcher(
                fleet,
                new LeastLoadedSelector(from.failureDomain()),
                new FirstTokenSelector(from.failureDomain(), this::engine));
    }

    private static double retryShare(GatewaySettings from) {
        return from.retryShare() / 2;
    }

    private double retryBurst(GatewaySettings from) {
        return Math.max(1, from.retryBurst() / Math.max(LEAST_BUDGET_PARTS, entries.entries()));
    }

    private void shareBudget(int told) {
        int before = entries.entries();
        entries.onReported(told, clock.nowMs());
        if (entries.entries() != before) {
            budgets.change(retryShare(settings), retryBurst(settings));
        }
    }

    /** Starts to listen and to follow the store; must not be called on the event loop. */
    public void start(StoreFeeds feeds) {
        callers.listen(settings.callerAddress());
        star.onLeadingChanged(feeds::urgent);
        star.start();
        readiness.listen(settings.readinessAddress());
        timers.run(() -> feeds.start(this));
        timers.every(WAITING_CHECK_MS, this::tick);
        timers.after(METRICS_AFTER_MS, metrics::begin);
        log.event("start")
                .with("node", settings.node())
                .with("callers", settings.callerAddress())
                .write();
    }

    /** Takes over the limits of changed settings; the rest waits for the next start. */
    public void reload(GatewaySettings changed) {
        GatewaySettings taken = settings.withLimitsOf(changed);
        settings = taken;
        timers.run(() -> budgets.change(retryShare(taken), retryBurst(taken)));
        log.event("reload").with("restart_needed", !taken.equals(changed)).write();
    }

    /** Stops without cutting an open call and returns; must not be called on the event loop. */
    public void stop() {
        long tookMs = new GracefulStop(clock, Gateway::pause, settings.graceMs(), new StopSteps()).run();
        log.event("stop").with("took_ms", tookMs).write();
        pause(LAST_LINES_MS);
    }

    private static void pause(long ms) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private void tick() {
        fleet.expire(clock.nowMs());
        if (!waiting.isEmpty()) {
            waiting.reconsider();
        }
    }

    private void answerReadiness(IncomingCall call) {
        if (call.head().uri().equals(METRICS_PATH)) {
            ByteBuf text = Unpooled.copiedBuffer(metrics.text(), StandardCharsets.UTF_8);
            call.response().sendWhole(HttpResponseStatus.OK, new DefaultHttpHeaders(), text);
            return;
        }
        boolean known = call.head().uri().equals(protocol.readinessPath());
        HttpResponseStatus unready = known ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.NOT_FOUND;
        HttpResponseStatus status = known && ready() ? HttpResponseStatus.OK : unready;
        call.response().sendWhole(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private boolean ready() {
        return !stopping && configuration.isPresent() && fleet.loaded();
    }

    private RequestLimits limits() {
        return configuration.map(ServingConfiguration::limits).orElse(RequestLimits.DEFAULT);
    }

    private EngineDefinition engine(ServiceName service) {
        return configuration
                .flatMap(known -> known.service(service))
                .flatMap(definition -> definition.engine())
                .orElseThrow();
    }

    @Override
    public void onConfiguration(ServingConfiguration received) {
        if (configuration.isPresent() && configuration.get().version() >= received.version()) {
            return;
        }
        configuration = Optional.of(received);
        log.event("config").with("version", received.version()).write();
        star.onConfiguration(received);
        entrance.releaseEarly();
        waiting.reconsider();
    }

    @Override
    public void onInstances(Collection<InstanceRecord> records) {
        fleet.onSnapshot(records, clock.nowMs());
        log.event("instances").with("count", records.size()).write();
        entrance.releaseEarly();
        fleetChanged();
    }

    @Override
    public void onInstance(InstanceRecord record) {
        fleet.onChanged(record, clock.nowMs());
        log.event("instance")
                .with("id", record.id())
                .with("service", record.service())
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
        log.event("list-reachable").write();
    }

    @Override
    public void onListLost(String reason) {
        fleet.onListLost();
        log.event("list-lost").with("reason", reason).write();
    }

    private void fleetChanged() {
        links.retain(fleet.all());
        star.fleetChanged();
        waiting.reconsider();
    }

    /** What a stop does to this entry, on its event loop. */
    private final class StopSteps implements GracefulStop.Steps {
        @Override
        public void begin() {
            timers.run(() -> {
                stopping = true;
                callers.stopping();
                star.resign();
                log.event("stopping").with("open", callers.openCalls()).write();
            });
        }

        @Override
        public void refuseLate() {
            timers.run(() -> {
                waiting.refuseAll();
                callers.closeIdle();
            });
        }

        @Override
        public void close() {
            timers.run(callers::close);
        }

        @Override
        public int openCalls() {
            return callers.openCalls();
        }
    }
}

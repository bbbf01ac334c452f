package org.hawthornglade.gateway.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.lease.Leadership;
import org.hawthornglade.core.replica.DemandTracker;
import org.hawthornglade.core.replica.EngineReplicaTracker;
import org.hawthornglade.core.replica.EntryDemand;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.core.replica.OrderOutcome;
import org.hawthornglade.core.replica.OrderDuration;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.serving.ServiceDefinition;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.peer.DemandUpdate;
import org.hawthornglade.gateway.peer.PlacementUpdate;
import org.hawthornglade.gateway.port.EngineControl;

/** Orders loads and unloads while this entry holds the lease, and tells all entries what is placed where. */
public final class PlacementLeader {
    /** News go out at least this often, so that followers know that the leader lives. */
    private static final long PUBLISH_INTERVAL_MS = 300;
    /** Planning goes on at most this often, however many entries tell something. */
    private static final long MIN_ROUND_PAUSE_MS = 10;
    /** After a round of planning the leader has this many times as long for everything else. */
    private static final long ROUND_PAUSE_FACTOR = 9;
    /** A new leader orders nothing for this time, in which the entries tell it their demand. */
    private static final long DEMAND_COLLECTION_MS = 500;

    /** Takes what the leader tells. */
    public interface Listener {
        /** Takes news for all entries. */
        void onPlacements(PlacementUpdate news);
    }

    private final String node;
    private final Fleet fleet;
    private final Leadership leadership;
    private final LeaseManager lease;
    private final EngineControl control;
    private final Listener listener;
    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Map<ServiceName, EnginePool> pools = new HashMap<>();
    private boolean wasLeading;
    private boolean roundScheduled;
    private long publishedAtMs;
    private long nextRoundMs;
    private long leadingSinceMs;

    PlacementLeader(
            String node,
            Fleet fleet,
            Leadership leadership,
            LeaseManager lease,
            EngineControl control,
            Listener audience,
            Timers timers,
            Clock clock,
            EventLog log,
            GatewayMetrics metrics) {
        this.node = node;
        this.fleet = fleet;
        this.leadership = leadership;
        this.lease = lease;
        this.control = control;
        this.listener = audience;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Takes the newest configuration. */
    void onConfiguration(ServingConfiguration configuration) {
        for (ServiceDefinition service : configuration.services()) {
            if (service.engine().isPresent()) {
                pools.computeIfAbsent(
                                service.name(),
                                name -> new EnginePool(name, service.engine().get(), new RemoteLoadLog(log, metrics)))
                        .updateDefinition(service.engine().get());
            }
        }
        scheduleRound();
    }

    /** Takes an entry's demand, this entry's own included. */
    public void onDemand(DemandUpdate news) {
        news.services().forEach((service, demand) -> {
            EnginePool park = pools.get(service);
            if (park != null) {
                recordDemand(news, park.demand(), demand);
                demand.leavingInstances()
                        .forEach((id, bornMs) -> park.tracker(id).ifPresent(book -> book.onLeavingAnnounced(bornMs)));
                for (InstanceId id : demand.unreachable()) {
                    park.tracker(id).ifPresent(book -> book.suspect(clock.nowMs()));
                }
            }
        });
        scheduleRound();
    }

    private void recordDemand(DemandUpdate news, DemandTracker book, EntryDemand demand) {
        if (news.withoutArrivals()) {
            book.onDemandExceptArrivals(news.entry(), demand, clock.nowMs());
        } else {
            book.onDemand(news.entry(), demand, clock.nowMs());
        }
    }

    /** Forgets an entry's demand. */
    public void onEntryGone(String entry) {
        pools.values().forEach(park -> park.demand().onEntryDisconnected(entry));
    }

    /** Looks at everything soon; several calls before that count once. */
    public void scheduleRound() {
        if (!roundScheduled) {
            roundScheduled = true;
            timers.after(Math.max(0, nextRoundMs - clock.nowMs()), this::runRound);
        }
    }

    boolean leading() {
        return leadership.leading();
    }

    private void runRound() {
        roundScheduled = false;
        long startMs = clock.nowMs();
        planRound(startMs);
        long endMs = clock.nowMs();
        nextRoundMs = endMs + Math.max(MIN_ROUND_PAUSE_MS, ROUND_PAUSE_FACTOR * (endMs - startMs));
    }

    private void planRound(long nowMs) {
        updateLeadership();
        if (!lease.mayOrder()) {
            return;
        }
        boolean changed = false;
        for (EnginePool park : pools.values()) {
            park.syncInstances(fleet, clock.nowMs());
            requestReports(park);
            changed |= nowMs - leadingSinceMs >= DEMAND_COLLECTION_MS && sendOrders(park);
        }
        if (changed || clock.nowMs() - publishedAtMs >= PUBLISH_INTERVAL_MS) {
            publish();
        }
    }

    private void updateLeadership() {
        if (wasLeading == leadership.leading()) {
            return;
        }
        wasLeading = leadership.leading();
        log.event(wasLeading ? "leader-won" : "leader-lost-lease")
                .with("token", leadership.token())
                .write();
        if (wasLeading) {
            leadingSinceMs = clock.nowMs();
            pools.values().forEach(EnginePool::clearTrackers);
        }
    }

    private void requestReports(EnginePool park) {
        long nowMs = clock.nowMs();
        for (EngineReplicaTracker book : park.trackers()) {
            if (book.needsReport(nowMs)) {
                book.onReportRequested(nowMs);
                control.report(book.listed(), answer -> {
                    answer.peek(report -> book.onReport(report, clock.nowMs()));
                    answer.peekLeft(failure -> onReportFailed(book, failure));
                    scheduleRound();
                });
            }
        }
    }

    private void onReportFailed(EngineReplicaTracker book, Failure failure) {
        book.onReportFailed();
        log.event("report-failed")
                .with("instance", book.id())
                .with("reason", failure.message())
                .write();
    }

    private boolean sendOrders(EnginePool park) {
        List<ReplicaOrder> orders = park.planner().plan(park.trackers(), clock.nowMs());
        for (ReplicaOrder order : orders) {
            Optional<EngineReplicaTracker> book = park.tracker(order.instance());
            book.ifPresent(target -> sendOrder(park, target, order));
        }
        return !orders.isEmpty();
    }

    private void sendOrder(EnginePool park, EngineReplicaTracker book, ReplicaOrder order) {
        OrderDuration time = park.planner().expectedDuration(book, order, park.trackers(), clock.nowMs());
        book.onOrderSent(order, clock.nowMs());
        log.event("order")
                .with("instance", order.instance())
                .with("action", order.action())
                .with("model", order.model())
                .with("adapter", order.adapter().map(Object::toString).orElse("-"))
                .with("seq", order.expected().orderSequence())
                .with("token", leadership.token())
                .with("expected_ms", time.expectedMs())
                .with("running", park.demand().running(order.instance(), order.model(), clock.nowMs()))
                .write();
        control.order(book.listed(), order, node, leadership.token(), outcome -> onOrderOutcome(book, order, outcome, time));
    }

    private void onOrderOutcome(EngineReplicaTracker book, ReplicaOrder order, OrderOutcome outcome, OrderDuration time) {
        book.onOrderAnswered(order, outcome, time, clock.nowMs());
        if (outcome != OrderOutcome.ACCEPTED) {
            log.event("order-answer")
                    .with("instance", order.instance())
                    .with("outcome", outcome)
                    .with("seq", order.expected().orderSequence())
                    .write();
        }
        if (outcome == OrderOutcome.FENCED_OFF) {
            leadership.stepDown();
        }
        publish();
        timers.after(EngineReplicaTracker.ADAPTER_LOAD_MS + 1, this::publishAndScheduleRound);
        scheduleRound();
    }

    private void publishAndScheduleRound() {
        publish();
        scheduleRound();
    }

    /** Tells all entries what is placed where. */
    public void publish() {
        if (!leadership.leading()) {
            return;
        }
        long nowMs = clock.nowMs();
        publishedAtMs = nowMs;
        List<InstancePlacement> placements = new ArrayList<>();
        Map<InstanceId, Integer> running = new HashMap<>();
        Map<ServiceName, LoadLimits> loadLimits = new HashMap<>();
        int enginesChanging = 0;
        for (EnginePool park : pools.values()) {
            loadLimits.put(park.service(), park.pacer().limits(nowMs));
            Map<InstanceId, Map<ModelName, Long>> foretold = park.planner().forecast(park.trackers(), nowMs);
            for (EngineReplicaTracker book : park.trackers()) {
                placements.add(book.placement(foretold.getOrDefault(book.id(), Map.of()), nowMs));
                running.put(book.id(), park.demand().running(book.id(), nowMs));
                enginesChanging += book.changing() ? 1 : 0;
            }
        }
        metrics.set("engines_changing", enginesChanging);
        listener.onPlacements(new PlacementUpdate(
                leadership.token(), leadership.seen().revision(), placements, running, entryCount(nowMs), loadLimits));
    }

    /** Takes what the entry that leads has learned of the weight stores. */
    void onLoadLimits(Map<ServiceName, LoadLimits> limits) {
        limits.forEach((service, learned) -> {
            EnginePool park = pools.get(service);
            if (park != null) {
                park.pacer().adopt(learned, clock.nowMs());
            }
        });
    }

    private int entryCount(long nowMs) {
        return pools.values().stream()
                .mapToInt(park -> park.demand().entries(nowMs))
                .max()
                .orElse(1);
    }
}

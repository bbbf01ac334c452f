package org.hawthornglade.gateway.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.lease.Leadership;
import org.hawthornglade.core.replica.EngineReplicaTracker;
import org.hawthornglade.core.replica.EngineReport;
import org.hawthornglade.core.replica.EntryDemand;
import org.hawthornglade.core.replica.EntryDemandAggregator;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.core.replica.OrderDuration;
import org.hawthornglade.core.replica.OrderOutcome;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ServiceDefinition;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.peer.DemandUpdate;
import org.hawthornglade.gateway.peer.PlacementUpdate;
import org.hawthornglade.gateway.port.EngineControl;

/** Orders loads and unloads while this entry holds the lease, and publishes the placements to all entries. */
public final class PlacementLeader {
    /** Updates are published at least this often, so that followers know that the leader is alive. */
    private static final long PUBLISH_INTERVAL_MS = 300;
    /** A new leader sends no orders for this time, in which the entries report their demand. */
    private static final long DEMAND_COLLECTION_MS = 500;

    /** Receives the updates of the leader. */
    public interface Listener {
        /**
         * Receives an update for all entries.
         *
         * @return the number of bytes that it takes to send it to them
         */
        long publish(PlacementUpdate update);
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
    private final boolean plansDiskCopies;
    private final LeaderActivity activity;
    private final Map<ServiceName, EnginePool> pools = new HashMap<>();
    private boolean wasLeading;
    private boolean roundScheduled;
    private long publishedAtMs;
    private long nextRoundMs;
    private long leadingSinceMs;
    private int probes;

    PlacementLeader(
            String node,
            Fleet fleet,
            Leadership leadership,
            LeaseManager lease,
            EngineControl control,
            Listener listener,
            Timers timers,
            Clock clock,
            EventLog log,
            GatewayMetrics metrics,
            boolean plansDiskCopies) {
        this.node = node;
        this.fleet = fleet;
        this.leadership = leadership;
        this.lease = lease;
        this.control = control;
        this.listener = listener;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.plansDiskCopies = plansDiskCopies;
        this.activity = new LeaderActivity(clock, log, metrics);
    }

    /** Applies the newest configuration. */
    void onConfiguration(ServingConfiguration configuration) {
        for (ServiceDefinition service : configuration.services()) {
            if (service.engine().isPresent()) {
                pools.computeIfAbsent(
                                service.name(),
                                name -> newPool(name, service.engine().get()))
                        .updateDefinition(service.engine().get());
            }
        }
        scheduleRound();
    }

    private EnginePool newPool(ServiceName service, EngineDefinition definition) {
        return new EnginePool(service, definition, new RemoteLoadLog(log, metrics), plansDiskCopies);
    }

    /** Records an entry's demand, including that of this entry. */
    public void onDemand(DemandUpdate update) {
        update.services().forEach((service, demand) -> {
            EnginePool pool = pools.get(service);
            if (pool != null) {
                recordDemand(update, pool.demand(), demand);
                demand.leavingInstances()
                        .forEach((id, bornMs) ->
                                pool.tracker(id).ifPresent(tracker -> tracker.onLeavingAnnounced(bornMs)));
                for (InstanceId id : demand.unreachable()) {
                    pool.tracker(id).ifPresent(tracker -> tracker.suspect(clock.nowMs()));
                }
            }
        });
        scheduleRound();
    }

    private void recordDemand(DemandUpdate update, EntryDemandAggregator tracker, EntryDemand demand) {
        if (update.withoutArrivals()) {
            tracker.onDemandExceptArrivals(update.entry(), demand, clock.nowMs());
        } else {
            tracker.onDemand(update.entry(), demand, clock.nowMs());
        }
    }

    /** Discards an entry's demand. */
    public void onEntryDisconnected(String entry) {
        pools.values().forEach(pool -> pool.demand().onEntryDisconnected(entry));
    }

    /** Schedules a planning round; further calls before it runs have no effect. */
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
        nextRoundMs = endMs + RoundPause.afterMs(endMs - startMs);
    }

    private void planRound(long nowMs) {
        updateLeadership();
        probeEngine(nowMs);
        if (!lease.mayOrder()) {
            return;
        }
        boolean changed = false;
        for (EnginePool pool : pools.values()) {
            pool.syncInstances(fleet, clock.nowMs());
            requestReports(pool);
            changed |= nowMs - leadingSinceMs >= DEMAND_COLLECTION_MS && sendOrders(pool);
        }
        if (changed || clock.nowMs() - publishedAtMs >= PUBLISH_INTERVAL_MS) {
            publish();
        }
        activity.check();
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

    /** Asks an engine for a report if the store is lost, since a leader that reaches no engine either must stop. */
    private void probeEngine(long nowMs) {
        if (!leadership.shouldProbeEngine(nowMs)) {
            return;
        }
        leadership.onEngineProbed(nowMs);
        List<InstanceRecord> engines = new ArrayList<>();
        pools.values().forEach(pool -> pool.trackers().forEach(tracker -> engines.add(tracker.listed())));
        if (engines.isEmpty()) {
            leadership.onEngineAnswered(nowMs);
            return;
        }
        InstanceRecord next = engines.get(Math.floorMod(probes++, engines.size()));
        control.report(next, result -> result.peek(report -> leadership.onEngineAnswered(clock.nowMs())));
    }

    private void requestReports(EnginePool pool) {
        long nowMs = clock.nowMs();
        for (EngineReplicaTracker tracker : pool.trackers()) {
            if (tracker.needsReport(nowMs)) {
                tracker.onReportRequested(nowMs);
                control.report(tracker.listed(), result -> {
                    result.peek(report -> onReport(tracker, report));
                    result.peekLeft(failure -> onReportFailed(tracker, failure));
                    scheduleRound();
                });
            }
        }
    }

    private void onReport(EngineReplicaTracker tracker, EngineReport report) {
        leadership.onEngineAnswered(clock.nowMs());
        tracker.onReport(report, clock.nowMs());
    }

    private void onReportFailed(EngineReplicaTracker tracker, Failure failure) {
        activity.onReportFailed();
        tracker.onReportFailed();
        log.event("report-failed")
                .with("instance", tracker.id())
                .with("reason", failure.message())
                .write();
    }

    private boolean sendOrders(EnginePool pool) {
        List<ReplicaOrder> orders = pool.planner().plan(pool.trackers(), clock.nowMs());
        activity.onAdapterWaits(pool.planner().adapterWaits());
        for (ReplicaOrder order : orders) {
            Optional<EngineReplicaTracker> tracker = pool.tracker(order.instance());
            tracker.ifPresent(target -> sendOrder(pool, target, order));
        }
        return !orders.isEmpty();
    }

    private void sendOrder(EnginePool pool, EngineReplicaTracker tracker, ReplicaOrder order) {
        OrderDuration duration = pool.planner().expectedDuration(tracker, order, pool.trackers(), clock.nowMs());
        tracker.onOrderSent(order, clock.nowMs());
        activity.onOrderSent(order);
        log.event("order")
                .with("instance", order.instance())
                .with("action", order.action())
                .with("model", order.model())
                .with("adapter", order.adapter().map(Object::toString).orElse("-"))
                .with("seq", order.expected().orderSequence())
                .with("token", leadership.token())
                .with("expected_ms", duration.expectedMs())
                .with("running", pool.demand().running(order.instance(), order.model(), clock.nowMs()))
                .write();
        control.order(
                tracker.listed(),
                order,
                node,
                leadership.token(),
                outcome -> onOrderOutcome(tracker, order, outcome, duration));
    }

    private void onOrderOutcome(
            EngineReplicaTracker tracker, ReplicaOrder order, OrderOutcome outcome, OrderDuration duration) {
        tracker.onOrderAnswered(order, outcome, duration, clock.nowMs());
        activity.onOrderAnswered(outcome);
        if (outcome != OrderOutcome.UNKNOWN) {
            leadership.onEngineAnswered(clock.nowMs());
        }
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

    /** Publishes the placements to all entries, if this entry leads. */
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
        for (EnginePool pool : pools.values()) {
            loadLimits.put(pool.service(), pool.pacer().limits(nowMs));
            Map<InstanceId, Map<ModelName, Long>> forecast = pool.planner().forecast(pool.trackers(), nowMs);
            for (EngineReplicaTracker tracker : pool.trackers()) {
                placements.add(tracker.placement(forecast.getOrDefault(tracker.id(), Map.of()), nowMs));
                running.put(tracker.id(), pool.demand().running(tracker.id(), nowMs));
                enginesChanging += tracker.changing() ? 1 : 0;
            }
        }
        metrics.set("engines_changing", enginesChanging);
        PlacementUpdate update = new PlacementUpdate(
                true,
                leadership.token(),
                leadership.seen().revision(),
                placements,
                List.of(),
                running,
                entryCount(nowMs),
                loadLimits);
        activity.onPublished(listener.publish(update));
    }

    /** Adopts the load limits that the leading entry has learned about the weight stores. */
    void onLoadLimits(Map<ServiceName, LoadLimits> limits) {
        limits.forEach((service, learned) -> {
            EnginePool pool = pools.get(service);
            if (pool != null) {
                pool.pacer().adopt(learned, clock.nowMs());
            }
        });
    }

    private int entryCount(long nowMs) {
        return pools.values().stream()
                .mapToInt(pool -> pool.demand().entries(nowMs))
                .max()
                .orElse(1);
    }
}

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
import org.hawthornglade.core.replica.DemandBook;
import org.hawthornglade.core.replica.EngineBook;
import org.hawthornglade.core.replica.EntryDemand;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.core.replica.OrderOutcome;
import org.hawthornglade.core.replica.OrderTime;
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
    private static final long NEWS_EVERY_MS = 300;
    /** Planning goes on at most this often, however many entries tell something. */
    private static final long LOOK_EVERY_MS = 10;
    /** After a round of planning the leader has this many times as long for everything else. */
    private static final long REST_FACTOR = 9;
    /** A new leader orders nothing for this time, in which the entries tell it their demand. */
    private static final long LISTEN_FIRST_MS = 500;

    /** Takes what the leader tells. */
    public interface Audience {
        /** Takes news for all entries. */
        void onNews(PlacementUpdate news);
    }

    private final String node;
    private final Fleet fleet;
    private final Leadership leadership;
    private final LeaseKeeper lease;
    private final EngineControl control;
    private final Audience audience;
    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Map<ServiceName, EnginePark> parks = new HashMap<>();
    private boolean led;
    private boolean wakePending;
    private long newsAtMs;
    private long nextLookMs;
    private long ledSinceMs;

    PlacementLeader(
            String node,
            Fleet fleet,
            Leadership leadership,
            LeaseKeeper lease,
            EngineControl control,
            Audience audience,
            Timers timers,
            Clock clock,
            EventLog log,
            GatewayMetrics metrics) {
        this.node = node;
        this.fleet = fleet;
        this.leadership = leadership;
        this.lease = lease;
        this.control = control;
        this.audience = audience;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Takes the newest configuration. */
    void onConfiguration(ServingConfiguration configuration) {
        for (ServiceDefinition service : configuration.services()) {
            if (service.engine().isPresent()) {
                parks.computeIfAbsent(
                                service.name(),
                                name -> new EnginePark(name, service.engine().get(), new RemoteLoadLog(log, metrics)))
                        .engine(service.engine().get());
            }
        }
        wake();
    }

    /** Takes an entry's demand, this entry's own included. */
    public void onDemand(DemandUpdate news) {
        news.services().forEach((service, demand) -> {
            EnginePark park = parks.get(service);
            if (park != null) {
                note(news, park.demand(), demand);
                demand.saidToLeave()
                        .forEach((id, bornMs) -> park.book(id).ifPresent(book -> book.onSaidToLeave(bornMs)));
                for (InstanceId id : demand.unreachable()) {
                    park.book(id).ifPresent(book -> book.doubt(clock.nowMs()));
                }
            }
        });
        wake();
    }

    private void note(DemandUpdate news, DemandBook book, EntryDemand demand) {
        if (news.withoutArrivals()) {
            book.onDemandButArrivals(news.entry(), demand, clock.nowMs());
        } else {
            book.onDemand(news.entry(), demand, clock.nowMs());
        }
    }

    /** Forgets an entry's demand. */
    public void onEntryGone(String entry) {
        parks.values().forEach(park -> park.demand().onEntryGone(entry));
    }

    /** Looks at everything soon; several calls before that count once. */
    public void wake() {
        if (!wakePending) {
            wakePending = true;
            timers.after(Math.max(0, nextLookMs - clock.nowMs()), this::work);
        }
    }

    boolean leading() {
        return leadership.leading();
    }

    private void work() {
        wakePending = false;
        long startMs = clock.nowMs();
        look(startMs);
        long endMs = clock.nowMs();
        nextLookMs = endMs + Math.max(LOOK_EVERY_MS, REST_FACTOR * (endMs - startMs));
    }

    private void look(long nowMs) {
        noteLeadership();
        if (!lease.mayOrder()) {
            return;
        }
        boolean changed = false;
        for (EnginePark park : parks.values()) {
            park.follow(fleet, clock.nowMs());
            askReports(park);
            changed |= nowMs - ledSinceMs >= LISTEN_FIRST_MS && sendOrders(park);
        }
        if (changed || clock.nowMs() - newsAtMs >= NEWS_EVERY_MS) {
            tell();
        }
    }

    private void noteLeadership() {
        if (led == leadership.leading()) {
            return;
        }
        led = leadership.leading();
        log.event(led ? "leader-won" : "leader-lost-lease")
                .with("token", leadership.token())
                .write();
        if (led) {
            ledSinceMs = clock.nowMs();
            parks.values().forEach(EnginePark::forget);
        }
    }

    private void askReports(EnginePark park) {
        long nowMs = clock.nowMs();
        for (EngineBook book : park.books()) {
            if (book.needsReport(nowMs)) {
                book.onReportAsked(nowMs);
                control.report(book.listed(), answer -> {
                    answer.peek(report -> book.onReport(report, clock.nowMs()));
                    answer.peekLeft(failure -> reportFailed(book, failure));
                    wake();
                });
            }
        }
    }

    private void reportFailed(EngineBook book, Failure failure) {
        book.onReportFailed();
        log.event("report-failed")
                .with("instance", book.id())
                .with("reason", failure.message())
                .write();
    }

    private boolean sendOrders(EnginePark park) {
        List<ReplicaOrder> orders = park.planner().plan(park.books(), clock.nowMs());
        for (ReplicaOrder order : orders) {
            Optional<EngineBook> book = park.book(order.instance());
            book.ifPresent(target -> send(park, target, order));
        }
        return !orders.isEmpty();
    }

    private void send(EnginePark park, EngineBook book, ReplicaOrder order) {
        OrderTime time = park.planner().time(book, order, park.books(), clock.nowMs());
        book.onSent(order, clock.nowMs());
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
        control.order(book.listed(), order, node, leadership.token(), outcome -> answered(book, order, outcome, time));
    }

    private void answered(EngineBook book, ReplicaOrder order, OrderOutcome outcome, OrderTime time) {
        book.onAnswer(order, outcome, time, clock.nowMs());
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
        tell();
        timers.after(EngineBook.ADAPTER_LOAD_MS + 1, this::tellAndWake);
        wake();
    }

    private void tellAndWake() {
        tell();
        wake();
    }

    /** Tells all entries what is placed where. */
    public void tell() {
        if (!leadership.leading()) {
            return;
        }
        long nowMs = clock.nowMs();
        newsAtMs = nowMs;
        List<InstancePlacement> placements = new ArrayList<>();
        Map<InstanceId, Integer> running = new HashMap<>();
        Map<ServiceName, LoadLimits> loadLimits = new HashMap<>();
        int enginesChanging = 0;
        for (EnginePark park : parks.values()) {
            loadLimits.put(park.service(), park.pacer().limits(nowMs));
            Map<InstanceId, Map<ModelName, Long>> foretold = park.planner().forecast(park.books(), nowMs);
            for (EngineBook book : park.books()) {
                placements.add(book.placement(foretold.getOrDefault(book.id(), Map.of()), nowMs));
                running.put(book.id(), park.demand().running(book.id(), nowMs));
                enginesChanging += book.changing() ? 1 : 0;
            }
        }
        metrics.set("engines_changing", enginesChanging);
        audience.onNews(new PlacementUpdate(
                leadership.token(), leadership.seen().revision(), placements, running, entries(nowMs), loadLimits));
    }

    /** Takes what the entry that leads has learned of the weight stores. */
    void onLoadLimits(Map<ServiceName, LoadLimits> limits) {
        limits.forEach((service, learned) -> {
            EnginePark park = parks.get(service);
            if (park != null) {
                park.pacer().adopt(learned, clock.nowMs());
            }
        });
    }

    private int entries(long nowMs) {
        return parks.values().stream()
                .mapToInt(park -> park.demand().entries(nowMs))
                .max()
                .orElse(1);
    }
}

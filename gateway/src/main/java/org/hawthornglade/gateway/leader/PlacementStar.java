package org.hawthornglade.gateway.leader;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.lease.Leadership;
import org.hawthornglade.core.lease.LeaseRow;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.GatewaySettings;
import org.hawthornglade.gateway.exchange.WaitingCalls;
import org.hawthornglade.gateway.loop.LoopContext;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.peer.DemandUpdate;
import org.hawthornglade.gateway.peer.FollowerServer;
import org.hawthornglade.gateway.peer.LeaderConnection;
import org.hawthornglade.gateway.peer.PlacementUpdate;
import org.hawthornglade.gateway.port.EngineControl;
import org.hawthornglade.gateway.port.LeaseStore;

/**
 * This entry's place in the star: it leads, or follows the entry that does.
 *
 * <p>Without a leader it goes on with the list's own word.
 */
public final class PlacementStar implements LeaderConnection.Listener, FollowerServer.Listener, PlacementLeader.Audience {
    private static final long CHECK_MS = 50;
    /** All demand is told at least this often while a leader is connected; new calls are told at the next check. */
    private static final long DEMAND_EVERY_MS = 250;

    private final GatewaySettings settings;
    private final Fleet fleet;
    private final WaitingCalls waiting;
    private final DemandCollector collector;
    private final Leadership leadership;
    private final LeaseKeeper lease;
    private final PlacementLeader leader;
    private final LeaderConnection link;
    private final FollowerServer followers;
    private final SharedLimits limits;
    private final Timers timers;
    private final Clock clock;
    private long demandAtMs;
    private boolean demandPending;
    private Consumer<Boolean> leadingChanged = leading -> {};
    private IntConsumer entriesTold = entries -> {};
    private boolean wasLeading;

    /** Puts the star's end at this entry together. */
    public PlacementStar(
            GatewaySettings settings,
            LoopContext context,
            Fleet fleet,
            WaitingCalls waiting,
            DemandCollector collector,
            LeaseStore leaseStore,
            EngineControl control,
            GatewayMetrics metrics) {
        this.settings = settings;
        this.fleet = fleet;
        this.waiting = waiting;
        this.collector = collector;
        this.timers = context.timers();
        this.clock = context.clock();
        String nonce = settings.node() + "-" + context.wallClock().nowMs();
        this.leadership = new Leadership(
                settings.node(),
                settings.peerAddress().toString(),
                nonce,
                settings.leaseMs(),
                settings.enginesCheckTokens());
        this.lease = new LeaseKeeper(leadership, leaseStore, clock, context.wallClock(), context.log());
        this.leader = new PlacementLeader(
                settings.node(), fleet, leadership, lease, control, this, timers, clock, context.log(), metrics);
        this.link = new LeaderConnection(context.loop(), clock, context.log(), this);
        this.followers = new FollowerServer(context.loop(), clock, this);
        this.limits =
                new SharedLimits(settings.node(), fleet, clock, lease, metrics, followers::send, waiting::reconsider);
    }

    /** Starts; must not be called on the event loop. */
    public void start() {
        followers.listen(settings.peerAddress());
        timers.every(CHECK_MS, this::check);
    }

    /** Sets what happens when this entry becomes the leader or stops being it. */
    public void onLeadingChanged(Consumer<Boolean> action) {
        leadingChanged = action;
    }

    /** Sets what happens when the leader tells how many entries there are. */
    public void onEntries(IntConsumer action) {
        entriesTold = action;
    }

    /** Gives the lease up, as at a stop. */
    public void resign() {
        lease.resign();
    }

    private void check() {
        lease.check(link.leaderAlive(), link.endedLeader());
        boolean leading = leadership.leading();
        if (wasLeading && !leading) {
            followers.disconnectAll();
            fleet.clearPlacements();
        }
        if (wasLeading != leading) {
            leadingChanged.accept(leading);
            limits.onLeadingChanged();
        }
        wasLeading = leading;
        link.target(leading ? Optional.empty() : leaderAddress());
        link.check();
        if (clock.nowMs() - demandAtMs >= DEMAND_EVERY_MS) {
            tellDemand(true);
        } else if (collector.changed()) {
            tellDemand(false);
        }
        limits.check();
        leader.wake();
    }

    private Optional<InstanceAddress> leaderAddress() {
        return leadership
                .seen()
                .row()
                .filter(row -> !row.released() && !row.holder().equals(settings.node()))
                .map(LeaseRow::address)
                .map(InstanceAddress::parse);
    }

    /** Takes note that the waiting calls have changed; the leader hears it soon. */
    public void demandChanged() {
        if (!demandPending) {
            demandPending = true;
            timers.run(() -> tellDemand(false));
        }
    }

    private void tellDemand(boolean withArrivals) {
        long nowMs = clock.nowMs();
        demandPending = false;
        demandAtMs = withArrivals ? nowMs : demandAtMs;
        DemandUpdate news = collector.collect(withArrivals, nowMs).withPermitRequests(limits.asks());
        if (leadership.leading()) {
            onDemand(news);
        } else {
            link.send(news);
        }
    }

    /** Takes the newest configuration. */
    public void onConfiguration(ServingConfiguration configuration) {
        leader.onConfiguration(configuration);
    }

    /** Takes note that the list of instances has changed. */
    public void fleetChanged() {
        leader.wake();
    }

    @Override
    public void onNews(PlacementUpdate news) {
        long nowMs = clock.nowMs();
        for (InstancePlacement placement : news.placements()) {
            fleet.onPlacement(placement);
            Optional<Endpoint> endpoint = fleet.endpoint(placement.instance());
            int running = news.running().getOrDefault(placement.instance(), 0);
            endpoint.ifPresent(
                    known -> known.load().updateOthers(running - known.load().ownRequests(), nowMs));
        }
        entriesTold.accept(news.entries());
        if (leadership.leading()) {
            followers.send(news);
        } else {
            leadership.onLeaderMessage(news.leaseRevision(), nowMs);
            leader.onLoadLimits(news.loadLimits());
        }
        waiting.reconsider();
    }

    @Override
    public void onLimits(LimitUpdate news) {
        limits.onNews(news);
    }

    @Override
    public void onLeaderConnected() {
        tellDemand(true);
    }

    @Override
    public void onLeaderLost() {
        fleet.clearPlacements();
        limits.onLeaderLost();
        waiting.reconsider();
    }

    @Override
    public void onDemand(DemandUpdate news) {
        leader.onDemand(news);
        limits.onAsks(news.entry(), news.permitRequests());
    }

    @Override
    public void onFollowerConnected() {
        leader.tell();
    }

    @Override
    public void onFollowerDisconnected(String entry) {
        leader.onEntryGone(entry);
        limits.onEntryGone(entry);
    }
}

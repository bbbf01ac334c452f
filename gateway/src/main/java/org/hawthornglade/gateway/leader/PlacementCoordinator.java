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
public final class PlacementCoordinator implements LeaderConnection.Listener, FollowerServer.Listener, PlacementLeader.Listener {
    private static final long CHECK_INTERVAL_MS = 50;
    /** All demand is told at least this often while a leader is connected; new calls are told at the next check. */
    private static final long DEMAND_INTERVAL_MS = 250;

    private final GatewaySettings settings;
    private final Fleet fleet;
    private final WaitingCalls waiting;
    private final DemandCollector collector;
    private final Leadership leadership;
    private final LeaseManager lease;
    private final PlacementLeader leader;
    private final LeaderConnection leaderLink;
    private final FollowerServer followers;
    private final SharedRateLimits rateLimits;
    private final Timers timers;
    private final Clock clock;
    private long fullDemandSentMs;
    private boolean demandPending;
    private Consumer<Boolean> leadingListener = leading -> {};
    private IntConsumer entryCountListener = entries -> {};
    private boolean wasLeading;

    /** Puts the star's end at this entry together. */
    public PlacementCoordinator(
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
        this.lease = new LeaseManager(leadership, leaseStore, clock, context.wallClock(), context.log());
        this.leader = new PlacementLeader(
                settings.node(), fleet, leadership, lease, control, this, timers, clock, context.log(), metrics);
        this.leaderLink = new LeaderConnection(context.loop(), clock, context.log(), this);
        this.followers = new FollowerServer(context.loop(), clock, this);
        this.rateLimits =
                new SharedRateLimits(settings.node(), fleet, clock, lease, metrics, followers::send, waiting::reconsider);
    }

    /** Starts; must not be called on the event loop. */
    public void start() {
        followers.listen(settings.peerAddress());
        timers.every(CHECK_INTERVAL_MS, this::check);
    }

    /** Sets what happens when this entry becomes the leader or stops being it. */
    public void onLeadingChanged(Consumer<Boolean> action) {
        leadingListener = action;
    }

    /** Sets what happens when the leader tells how many entries there are. */
    public void onEntryCount(IntConsumer action) {
        entryCountListener = action;
    }

    /** Gives the lease up, as at a stop. */
    public void resign() {
        lease.resign();
    }

    private void check() {
        lease.check(leaderLink.leaderAlive(), leaderLink.endedLeader());
        boolean leading = leadership.leading();
        if (wasLeading && !leading) {
            followers.disconnectAll();
            fleet.clearPlacements();
        }
        if (wasLeading != leading) {
            leadingListener.accept(leading);
            rateLimits.onLeadingChanged();
        }
        wasLeading = leading;
        leaderLink.target(leading ? Optional.empty() : leaderAddress());
        leaderLink.check();
        if (clock.nowMs() - fullDemandSentMs >= DEMAND_INTERVAL_MS) {
            sendDemand(true);
        } else if (collector.callsArrived()) {
            sendDemand(false);
        }
        rateLimits.check();
        leader.scheduleRound();
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
            timers.run(() -> sendDemand(false));
        }
    }

    private void sendDemand(boolean withArrivals) {
        long nowMs = clock.nowMs();
        demandPending = false;
        fullDemandSentMs = withArrivals ? nowMs : fullDemandSentMs;
        DemandUpdate news = collector.collect(withArrivals, nowMs).withPermitRequests(rateLimits.permitRequests());
        if (leadership.leading()) {
            onDemand(news);
        } else {
            leaderLink.send(news);
        }
    }

    /** Takes the newest configuration. */
    public void onConfiguration(ServingConfiguration configuration) {
        leader.onConfiguration(configuration);
    }

    /** Takes note that the list of instances has changed. */
    public void fleetChanged() {
        leader.scheduleRound();
    }

    @Override
    public void onPlacements(PlacementUpdate news) {
        long nowMs = clock.nowMs();
        for (InstancePlacement placement : news.placements()) {
            fleet.onPlacement(placement);
            Optional<Endpoint> endpoint = fleet.endpoint(placement.instance());
            int running = news.running().getOrDefault(placement.instance(), 0);
            endpoint.ifPresent(
                    known -> known.load().updateOthers(running - known.load().ownRequests(), nowMs));
        }
        entryCountListener.accept(news.entries());
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
        rateLimits.onUpdate(news);
    }

    @Override
    public void onLeaderConnected() {
        sendDemand(true);
    }

    @Override
    public void onLeaderLost() {
        fleet.clearPlacements();
        rateLimits.onLeaderLost();
        waiting.reconsider();
    }

    @Override
    public void onDemand(DemandUpdate news) {
        leader.onDemand(news);
        rateLimits.onPermitRequests(news.entry(), news.permitRequests());
    }

    @Override
    public void onFollowerConnected() {
        leader.publish();
    }

    @Override
    public void onFollowerDisconnected(String entry) {
        leader.onEntryGone(entry);
        rateLimits.onEntryGone(entry);
    }
}

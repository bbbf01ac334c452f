package org.hawthornglade.gateway.leader;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.lease.ConnectionAttempt;
import org.hawthornglade.core.lease.FencingToken;
import org.hawthornglade.core.lease.Leadership;
import org.hawthornglade.core.lease.LeaseRow;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.quarantine.PromptQuarantine.Role;
import org.hawthornglade.core.quarantine.QuarantineReport;
import org.hawthornglade.core.quarantine.QuarantineUpdate;
import org.hawthornglade.core.quota.QuotaClient;
import org.hawthornglade.core.quota.QuotaReport;
import org.hawthornglade.core.quota.QuotaUpdate;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.GatewaySettings;
import org.hawthornglade.gateway.exchange.WaitingCalls;
import org.hawthornglade.gateway.log.EventLog;
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
 * Coordinates placement at this entry: leads while it holds the lease, otherwise follows the leading entry.
 *
 * <p>Without a leader, the placements in the list of instances apply.
 */
public final class PlacementCoordinator
        implements LeaderConnection.Listener, FollowerServer.Listener, PlacementLeader.Listener {
    private static final long CHECK_INTERVAL_MS = 50;
    /** All demand is sent at least this often while a leader is connected; new calls are sent at the next check. */
    private static final long DEMAND_INTERVAL_MS = 250;

    private final GatewaySettings settings;
    private final Fleet fleet;
    private final WaitingCalls waitingCalls;
    private final DemandCollector collector;
    private final Leadership leadership;
    private final LeaseManager lease;
    private final PlacementLeader leader;
    private final LeaderConnection leaderConnection;
    private final FollowerServer followers;
    private final SharedRateLimits rateLimits;
    private final SharedQuotas quotas;
    private final SharedQuarantine quarantine;
    private final Timers timers;
    private final Clock clock;
    private final Clock wallClock;
    private final EventLog log;
    private long fullDemandSentMs;
    private boolean demandPending;
    private Consumer<Boolean> leadingListener = leading -> {};
    private Consumer<StoreEra> storeEraListener = era -> {};
    private IntConsumer entryCountListener = entries -> {};
    private boolean wasLeading;
    private FencingToken followedToken = new FencingToken(0);
    /** All placements that the leader has reported on the open connection. */
    private Optional<PlacementUpdate> followed = Optional.empty();

    /** Creates the leading and the following side. */
    public PlacementCoordinator(
            GatewaySettings settings,
            LoopContext context,
            Fleet fleet,
            WaitingCalls waitingCalls,
            DemandCollector collector,
            LeaseStore leaseStore,
            EngineControl control,
            PromptQuarantine promptQuarantine,
            QuotaClient quotaClient,
            Runnable onQuotaAnswer,
            GatewayMetrics metrics) {
        this.settings = settings;
        this.fleet = fleet;
        this.waitingCalls = waitingCalls;
        this.collector = collector;
        this.timers = context.timers();
        this.clock = context.clock();
        this.wallClock = context.wallClock();
        this.log = context.log();
        String nonce = settings.node() + "-" + context.wallClock().nowMs();
        this.leadership = new Leadership(
                settings.node(),
                settings.peerAddress().toString(),
                nonce,
                settings.leaseMs(),
                settings.enginesCheckTokens());
        this.lease = new LeaseManager(leadership, leaseStore, clock, context.wallClock(), context.log());
        this.leader = new PlacementLeader(
                settings.node(),
                fleet,
                leadership,
                lease,
                control,
                this,
                timers,
                clock,
                context.log(),
                metrics,
                settings.loadControl().diskCopies());
        this.leaderConnection = new LeaderConnection(context.loop(), clock, context.log(), this);
        this.followers = new FollowerServer(context.loop(), clock, this);
        this.rateLimits = new SharedRateLimits(
                settings.node(), fleet, clock, lease, metrics, followers::send, waitingCalls::reconsider);
        this.quotas = new SharedQuotas(
                settings.node(),
                clock,
                lease,
                settings.quotaTolerance(),
                quotaClient,
                leaderConnection::send,
                followers::send,
                onQuotaAnswer);
        this.quarantine = new SharedQuarantine(
                settings.node(),
                clock,
                promptQuarantine,
                leaderConnection::writable,
                leaderConnection::send,
                followers::send,
                waitingCalls::reconsider);
    }

    /** Starts; must not be called on the event loop. */
    public void start() {
        followers.listen(settings.peerAddress());
        timers.every(CHECK_INTERVAL_MS, this::check);
    }

    /** Sets the listener that is called when this entry starts or stops leading. */
    public void onLeadingChanged(Consumer<Boolean> action) {
        leadingListener = action;
    }

    /** Sets the listener for the number of entries that the leader reports. */
    public void onEntryCount(IntConsumer action) {
        entryCountListener = action;
    }

    /** Sets the listener for the era of the store that the leader reports. */
    public void onStoreEraReported(Consumer<StoreEra> action) {
        storeEraListener = action;
    }

    /** Handles a restore of the store from an older copy. */
    public void onStoreRestored(StoreEra era) {
        lease.onStoreEra(era);
    }

    /** Releases the lease, as at a stop. */
    public void resign() {
        lease.resign();
    }

    private void check() {
        lease.check(leaderConnection::leaderAlive);
        boolean leading = leadership.leading();
        if (wasLeading && !leading) {
            followers.disconnectAll();
            fleet.clearPlacements();
        }
        if (wasLeading != leading) {
            leadingListener.accept(leading);
            rateLimits.onLeadingChanged();
            quotas.onLeadingChanged(
                    leading, wallClock.nowMs() ^ ((long) settings.node().hashCode() << 48));
        }
        wasLeading = leading;
        leaderConnection.target(leading ? Optional.empty() : leaderAddress());
        leaderConnection.check();
        if (clock.nowMs() - fullDemandSentMs >= DEMAND_INTERVAL_MS) {
            sendDemand(true);
        } else if (collector.callsArrived()) {
            sendDemand(false);
        }
        rateLimits.check();
        quotas.check();
        quarantine.check(role());
        leader.scheduleRound();
    }

    private Role role() {
        if (leadership.leading()) {
            return Role.LEADING;
        }
        return leaderConnection.leaderAlive() ? Role.FOLLOWING : Role.WITHOUT_LEADER;
    }

    private Optional<InstanceAddress> leaderAddress() {
        return leadership
                .seen()
                .row()
                .filter(row -> !row.released() && !row.holder().equals(settings.node()))
                .map(LeaseRow::address)
                .map(InstanceAddress::parse);
    }

    /** Sends the changed demand of the waiting calls to the leader soon. */
    public void demandChanged() {
        if (!demandPending) {
            demandPending = true;
            timers.run(() -> sendDemand(false));
        }
    }

    /** Reports on quotas to the leader now, since a call waits for its answer. */
    public void reportQuotas() {
        quotas.report();
    }

    private void sendDemand(boolean withArrivals) {
        long nowMs = clock.nowMs();
        demandPending = false;
        fullDemandSentMs = withArrivals ? nowMs : fullDemandSentMs;
        DemandUpdate update = collector.collect(withArrivals, nowMs).withPermitRequests(rateLimits.permitRequests());
        if (leadership.leading()) {
            onDemand(update);
        } else {
            leaderConnection.send(update);
        }
    }

    /** Applies the newest configuration. */
    public void onConfiguration(ServingConfiguration configuration) {
        leader.onConfiguration(configuration);
        quotas.onConfiguration(configuration.teams().quotas());
    }

    /** Handles a change in the list of instances. */
    public void fleetChanged() {
        leader.scheduleRound();
    }

    @Override
    public long publish(PlacementUpdate update) {
        apply(update, clock.nowMs());
        long bytes = followers.send(update);
        waitingCalls.reconsider();
        return bytes;
    }

    @Override
    public void onPlacements(PlacementUpdate update) {
        long nowMs = clock.nowMs();
        if (!leadership.onLeaderToken(update.token())) {
            log.event("placements-of-older-leader")
                    .with("token", update.token())
                    .write();
            leaderConnection.disconnect();
            return;
        }
        logToken(update.token());
        PlacementUpdate complete = followed.map(update::mergedInto).orElse(update);
        followed = Optional.of(complete);
        apply(complete, nowMs);
        leadership.onLeaderMessage(update.leaseRevision(), nowMs);
        storeEraListener.accept(update.leaseRevision().era());
        leader.onLoadLimits(update.loadLimits());
        waitingCalls.reconsider();
    }

    private void logToken(FencingToken token) {
        if (!token.equals(followedToken)) {
            followedToken = token;
            log.event("placements-followed").with("token", token).write();
        }
    }

    private void apply(PlacementUpdate update, long nowMs) {
        for (InstancePlacement placement : update.placements()) {
            fleet.onPlacement(placement);
            Optional<Endpoint> endpoint = fleet.endpoint(placement.instance());
            int running = update.running().getOrDefault(placement.instance(), 0);
            endpoint.ifPresent(
                    known -> known.load().updateOthers(running - known.load().ownRequests(), nowMs));
        }
        entryCountListener.accept(update.entries());
    }

    @Override
    public void onLimits(LimitUpdate update) {
        rateLimits.onUpdate(update);
    }

    @Override
    public void onQuotas(QuotaUpdate update) {
        quotas.onUpdate(update);
    }

    @Override
    public void onQuotaReport(String entry, QuotaReport report) {
        quotas.onReport(entry, report);
    }

    @Override
    public void onQuarantine(QuarantineUpdate update) {
        quarantine.onUpdate(update);
    }

    @Override
    public void onQuarantineReport(String entry, QuarantineReport report) {
        quarantine.onReport(entry, report);
    }

    @Override
    public void onConnectionAttempt(ConnectionAttempt attempt) {
        leadership.onConnectionAttempt(attempt);
    }

    @Override
    public void onLeaderConnected() {
        sendDemand(true);
    }

    @Override
    public void onLeaderLost() {
        followed = Optional.empty();
        fleet.clearPlacements();
        rateLimits.onLeaderLost();
        waitingCalls.reconsider();
    }

    @Override
    public void onDemand(DemandUpdate update) {
        leader.onDemand(update);
        rateLimits.onPermitRequests(update.entry(), update.permitRequests());
    }

    @Override
    public void onFollowerConnected() {
        leader.publish();
        if (leadership.leading()) {
            quarantine.onFollowerConnected();
        }
    }

    @Override
    public void onFollowerDisconnected(String entry) {
        leader.onEntryDisconnected(entry);
        rateLimits.onEntryDisconnected(entry);
    }
}

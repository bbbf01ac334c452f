package org.hawthornglade.gateway.leader;

import java.util.Set;
import java.util.function.BiConsumer;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.limit.PermitAllocator;
import org.hawthornglade.core.limit.PermitClient;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/**
 * Shares the advertised rate limits of endpoints among the entries.
 *
 * <p>Requests the permits that this entry needs, and grants permits to all entries while this entry leads.
 */
final class SharedRateLimits {
    private final String node;
    private final Clock clock;
    private final LeaseManager lease;
    private final GatewayMetrics metrics;
    private final PermitClient permitClient;
    private final PermitAllocator permitAllocator;
    private final BiConsumer<String, LimitUpdate> followerSender;
    private final Runnable reconsiderCalls;

    /**
     * Creates the requesting and the granting side.
     *
     * @param node the name of this entry
     * @param followerSender sends an update to another entry
     * @param reconsiderCalls decides again on the waiting calls of this entry
     */
    SharedRateLimits(
            String node,
            Fleet fleet,
            Clock clock,
            LeaseManager lease,
            GatewayMetrics metrics,
            BiConsumer<String, LimitUpdate> followerSender,
            Runnable reconsiderCalls) {
        this.node = node;
        this.clock = clock;
        this.lease = lease;
        this.metrics = metrics;
        this.permitClient = new PermitClient(fleet);
        this.permitAllocator = new PermitAllocator(fleet);
        this.followerSender = followerSender;
        this.reconsiderCalls = reconsiderCalls;
    }

    /** Returns the permit requests to report to the leader now. */
    PermitRequests permitRequests() {
        return permitClient.requests(clock.nowMs());
    }

    /** Grants permits on the requests of an entry, if this entry leads. */
    void onPermitRequests(String entry, PermitRequests requests) {
        if (lease.mayOrder()) {
            sendUpdates(permitAllocator.onRequests(entry, requests, lease.leaseValid(), clock.nowMs()));
        }
    }

    /** Grants permits that have become available, if this entry leads. */
    void check() {
        metrics.set("endpoints_limited", permitAllocator.limitedEndpoints());
        if (lease.mayOrder()) {
            sendUpdates(permitAllocator.check(lease.leaseValid(), clock.nowMs()));
        }
    }

    private void sendUpdates(Set<String> entries) {
        for (String entry : entries) {
            LimitUpdate update = permitAllocator.update(entry, clock.nowMs());
            if (entry.equals(node)) {
                onUpdate(update);
            } else {
                followerSender.accept(entry, update);
            }
        }
    }

    /** Applies an update of the leader. */
    void onUpdate(LimitUpdate update) {
        permitClient.onUpdate(update, clock.nowMs());
        reconsiderCalls.run();
    }

    /** Removes the requests of a follower whose connection has ended. */
    void onEntryDisconnected(String entry) {
        permitAllocator.onEntryDisconnected(entry);
    }

    /** Resets both sides when this entry has started or stopped leading; granted permits are not granted again. */
    void onLeadingChanged() {
        permitAllocator.reset();
        permitClient.onLeaderLost();
    }

    /** Handles the loss of the connection to the leader. */
    void onLeaderLost() {
        permitClient.onLeaderLost();
    }
}

package org.hawthornglade.gateway.leader;

import java.util.Set;
import java.util.function.BiConsumer;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.limit.PermitClient;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.limit.PermitAllocator;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Both sides of the limits that endpoints name, at one entry: what it asks for, and what it deals while it leads. */
final class SharedRateLimits {
    private final String node;
    private final Clock clock;
    private final LeaseManager lease;
    private final GatewayMetrics metrics;
    private final PermitClient entryLimits;
    private final PermitAllocator shares;
    private final BiConsumer<String, LimitUpdate> followerSender;
    private final Runnable reconsiderCalls;

    /**
     * Puts both sides together.
     *
     * @param node the name of this entry
     * @param followers sends news to another entry
     * @param told has the waiting calls of this entry decided anew
     */
    SharedRateLimits(
            String node,
            Fleet fleet,
            Clock clock,
            LeaseManager lease,
            GatewayMetrics metrics,
            BiConsumer<String, LimitUpdate> followers,
            Runnable told) {
        this.node = node;
        this.clock = clock;
        this.lease = lease;
        this.metrics = metrics;
        this.entryLimits = new PermitClient(fleet);
        this.shares = new PermitAllocator(fleet);
        this.followerSender = followers;
        this.reconsiderCalls = told;
    }

    /** Returns what the leader should know now. */
    PermitRequests permitRequests() {
        return entryLimits.requests(clock.nowMs());
    }

    /** Takes what an entry asks of this leader. */
    void onPermitRequests(String entry, PermitRequests asks) {
        if (lease.mayOrder()) {
            sendUpdates(shares.onRequests(entry, asks, lease.leaseHolds(), clock.nowMs()));
        }
    }

    /** Deals what has become free, if this entry leads. */
    void check() {
        metrics.set("endpoints_limited", shares.limitedEndpoints());
        if (lease.mayOrder()) {
            sendUpdates(shares.check(lease.leaseHolds(), clock.nowMs()));
        }
    }

    private void sendUpdates(Set<String> entries) {
        for (String entry : entries) {
            LimitUpdate news = shares.update(entry, clock.nowMs());
            if (entry.equals(node)) {
                onUpdate(news);
            } else {
                followerSender.accept(entry, news);
            }
        }
    }

    /** Takes what the leader tells. */
    void onUpdate(LimitUpdate news) {
        entryLimits.onUpdate(news, clock.nowMs());
        reconsiderCalls.run();
    }

    /** Takes note that a follower's connection has ended. */
    void onEntryGone(String entry) {
        shares.onEntryDisconnected(entry);
    }

    /** Takes note that this entry leads from now on, or no longer does; what was dealt is not dealt again. */
    void onLeadingChanged() {
        shares.reset();
        entryLimits.onLeaderLost();
    }

    /** Takes note that the leader is no longer heard. */
    void onLeaderLost() {
        entryLimits.onLeaderLost();
    }
}

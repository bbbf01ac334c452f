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
final class SharedLimits {
    private final String node;
    private final Clock clock;
    private final LeaseKeeper lease;
    private final GatewayMetrics metrics;
    private final PermitClient own;
    private final PermitAllocator shares;
    private final BiConsumer<String, LimitUpdate> followers;
    private final Runnable told;

    /**
     * Puts both sides together.
     *
     * @param node the name of this entry
     * @param followers sends news to another entry
     * @param told has the waiting calls of this entry decided anew
     */
    SharedLimits(
            String node,
            Fleet fleet,
            Clock clock,
            LeaseKeeper lease,
            GatewayMetrics metrics,
            BiConsumer<String, LimitUpdate> followers,
            Runnable told) {
        this.node = node;
        this.clock = clock;
        this.lease = lease;
        this.metrics = metrics;
        this.own = new PermitClient(fleet);
        this.shares = new PermitAllocator(fleet);
        this.followers = followers;
        this.told = told;
    }

    /** Returns what the leader should know now. */
    PermitRequests asks() {
        return own.requests(clock.nowMs());
    }

    /** Takes what an entry asks of this leader. */
    void onAsks(String entry, PermitRequests asks) {
        if (lease.mayOrder()) {
            tell(shares.onRequests(entry, asks, lease.holds(), clock.nowMs()));
        }
    }

    /** Deals what has become free, if this entry leads. */
    void check() {
        metrics.set("endpoints_limited", shares.limitedEndpoints());
        if (lease.mayOrder()) {
            tell(shares.check(lease.holds(), clock.nowMs()));
        }
    }

    private void tell(Set<String> entries) {
        for (String entry : entries) {
            LimitUpdate news = shares.update(entry, clock.nowMs());
            if (entry.equals(node)) {
                onNews(news);
            } else {
                followers.accept(entry, news);
            }
        }
    }

    /** Takes what the leader tells. */
    void onNews(LimitUpdate news) {
        own.onUpdate(news, clock.nowMs());
        told.run();
    }

    /** Takes note that a follower's connection has ended. */
    void onEntryGone(String entry) {
        shares.onEntryDisconnected(entry);
    }

    /** Takes note that this entry leads from now on, or no longer does; what was dealt is not dealt again. */
    void onLeadingChanged() {
        shares.reset();
        own.onLeaderLost();
    }

    /** Takes note that the leader is no longer heard. */
    void onLeaderLost() {
        own.onLeaderLost();
    }
}

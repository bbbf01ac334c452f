package org.hawthornglade.gateway.leader;

import java.util.Set;
import java.util.function.BiConsumer;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.limit.EntryAsks;
import org.hawthornglade.core.limit.EntryLimits;
import org.hawthornglade.core.limit.LimitNews;
import org.hawthornglade.core.limit.LimitShares;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Both sides of the limits that endpoints name, at one entry: what it asks for, and what it deals while it leads. */
final class SharedRateLimits {
    private final String node;
    private final Clock clock;
    private final LeaseManager lease;
    private final GatewayMetrics metrics;
    private final EntryLimits entryLimits;
    private final LimitShares shares;
    private final BiConsumer<String, LimitNews> followerSender;
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
            BiConsumer<String, LimitNews> followers,
            Runnable told) {
        this.node = node;
        this.clock = clock;
        this.lease = lease;
        this.metrics = metrics;
        this.entryLimits = new EntryLimits(fleet);
        this.shares = new LimitShares(fleet);
        this.followerSender = followers;
        this.reconsiderCalls = told;
    }

    /** Returns what the leader should know now. */
    EntryAsks permitRequests() {
        return entryLimits.asks(clock.nowMs());
    }

    /** Takes what an entry asks of this leader. */
    void onPermitRequests(String entry, EntryAsks asks) {
        if (lease.mayOrder()) {
            sendUpdates(shares.onAsks(entry, asks, lease.leaseHolds(), clock.nowMs()));
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
            LimitNews news = shares.news(entry, clock.nowMs());
            if (entry.equals(node)) {
                onUpdate(news);
            } else {
                followerSender.accept(entry, news);
            }
        }
    }

    /** Takes what the leader tells. */
    void onUpdate(LimitNews news) {
        entryLimits.onNews(news, clock.nowMs());
        reconsiderCalls.run();
    }

    /** Takes note that a follower's connection has ended. */
    void onEntryGone(String entry) {
        shares.onEntryGone(entry);
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

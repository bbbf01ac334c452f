package org.hawthornglade.gateway.leader;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.quota.QuotaAllocator;
import org.hawthornglade.core.quota.QuotaClient;
import org.hawthornglade.core.quota.QuotaReport;
import org.hawthornglade.core.quota.QuotaTolerance;
import org.hawthornglade.core.quota.QuotaUpdate;
import org.hawthornglade.core.team.TeamQuota;
import org.hawthornglade.core.time.Clock;

/**
 * Shares the quotas of teams among the entries.
 *
 * <p>Reports what this entry uses, and grants units to all entries while this entry leads. Nothing is sent unless the
 * configuration names a team with a quota.
 */
final class SharedQuotas {
    /** A report is sent at least this often, so that the leader knows that this entry hears it. */
    private static final long REPORT_INTERVAL_MS = 250;
    /** Reports that are due before, because units run short, are at least this far apart. */
    private static final long SHORT_INTERVAL_MS = 50;

    private final String node;
    private final Clock clock;
    private final LeaseManager lease;
    private final QuotaClient client;
    private final QuotaAllocator allocator;
    private final Consumer<QuotaReport> leaderSender;
    private final BiConsumer<String, QuotaUpdate> followerSender;
    private final Runnable onAnswer;
    private long reportedAtMs;
    private boolean leading;

    /**
     * Creates the reporting and the granting side.
     *
     * @param node the name of this entry
     * @param client what this entry may use
     * @param leaderSender sends a report to the leader
     * @param followerSender sends an answer to another entry
     * @param onAnswer decides again on the calls that wait for an answer
     */
    SharedQuotas(
            String node,
            Clock clock,
            LeaseManager lease,
            QuotaTolerance tolerance,
            QuotaClient client,
            Consumer<QuotaReport> leaderSender,
            BiConsumer<String, QuotaUpdate> followerSender,
            Runnable onAnswer) {
        this.node = node;
        this.clock = clock;
        this.lease = lease;
        this.client = client;
        this.allocator = new QuotaAllocator(tolerance);
        this.leaderSender = leaderSender;
        this.followerSender = followerSender;
        this.onAnswer = onAnswer;
        lease.recordQuotaHolders(allocator::holders, allocator::onHoldersStored);
    }

    /** Applies the quotas of a configuration. */
    void onConfiguration(Map<TeamName, TeamQuota> quotas) {
        client.onConfiguration(quotas);
        allocator.onConfiguration(quotas);
    }

    /** Adds what has accrued, if this entry leads, and reports if a report is due; must be called frequently. */
    void check() {
        if (!client.active()) {
            return;
        }
        long nowMs = clock.nowMs();
        if (lease.mayOrder()) {
            allocator.check(lease.leaseValid(), nowMs);
        }
        long sinceMs = nowMs - reportedAtMs;
        if (sinceMs >= REPORT_INTERVAL_MS || (sinceMs >= SHORT_INTERVAL_MS && client.reportUrgent())) {
            report();
        }
    }

    /** Reports to the leader now. */
    void report() {
        if (!client.active()) {
            return;
        }
        reportedAtMs = clock.nowMs();
        QuotaReport report = client.report(reportedAtMs);
        if (leading) {
            onReport(node, report);
        } else {
            leaderSender.accept(report);
        }
    }

    /** Answers the report of an entry, if this entry leads. */
    void onReport(String entry, QuotaReport report) {
        if (!lease.mayOrder()) {
            return;
        }
        QuotaUpdate update = allocator.onReport(entry, report, lease.leaseValid(), clock.nowMs());
        if (entry.equals(node)) {
            onUpdate(update);
        } else {
            followerSender.accept(entry, update);
        }
    }

    /** Applies an answer of the leader. */
    void onUpdate(QuotaUpdate update) {
        client.onUpdate(update, clock.nowMs());
        onAnswer.run();
    }

    /**
     * Handles the start or the end of leading.
     *
     * @param term identifies the time for which this entry leads, if it does
     */
    void onLeadingChanged(boolean nowLeading, long term) {
        leading = nowLeading;
        if (nowLeading) {
            allocator.begin(term, client.entries(), lease.quotaHolders(), clock.nowMs());
        }
    }
}

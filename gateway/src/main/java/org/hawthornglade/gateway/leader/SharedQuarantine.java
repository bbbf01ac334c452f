package org.hawthornglade.gateway.leader;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.quarantine.PromptQuarantine.Role;
import org.hawthornglade.core.quarantine.QuarantineReport;
import org.hawthornglade.core.quarantine.QuarantineUpdate;
import org.hawthornglade.core.time.Clock;

/** Shares what entries know of parts of prompts that crash instances, by way of the leader. */
final class SharedQuarantine {
    /** Updates are published again after this time, since a peer that reads too slowly does not receive all. */
    private static final long PUBLISH_INTERVAL_MS = 1_000;

    private final String node;
    private final Clock clock;
    private final PromptQuarantine quarantine;
    private final BooleanSupplier leaderWritable;
    private final BiConsumer<String, QuarantineReport> leaderSender;
    private final Consumer<QuarantineUpdate> followerSender;
    private final Runnable reconsiderCalls;
    private Role role = Role.WITHOUT_LEADER;
    private long publishedAtMs;

    /**
     * Creates the reporting and the publishing side.
     *
     * @param node the name of this entry
     * @param leaderWritable whether a report that is sent now is not dropped
     * @param leaderSender sends a report to the leader
     * @param followerSender sends an update to all other entries
     * @param reconsiderCalls decides again on the waiting calls of this entry
     */
    SharedQuarantine(
            String node,
            Clock clock,
            PromptQuarantine quarantine,
            BooleanSupplier leaderWritable,
            BiConsumer<String, QuarantineReport> leaderSender,
            Consumer<QuarantineUpdate> followerSender,
            Runnable reconsiderCalls) {
        this.node = node;
        this.clock = clock;
        this.quarantine = quarantine;
        this.leaderWritable = leaderWritable;
        this.leaderSender = leaderSender;
        this.followerSender = followerSender;
        this.reconsiderCalls = reconsiderCalls;
        quarantine.onRole(role, clock.nowMs());
    }

    /** Decides, reports and publishes what is due; must be called regularly. */
    void check(Role current) {
        if (current != role) {
            role = current;
            quarantine.onRole(role, clock.nowMs());
        }
        quarantine.check(clock.nowMs());
        boolean changed = quarantine.pollChanged();
        if (changed) {
            reconsiderCalls.run();
        }
        if (role == Role.LEADING) {
            quarantine.onReport(node, quarantine.report(), clock.nowMs());
            publish(changed || quarantine.pollChanged());
        } else if (role == Role.FOLLOWING && leaderWritable.getAsBoolean()) {
            sendReport();
        }
    }

    private void publish(boolean changed) {
        boolean due = clock.nowMs() - publishedAtMs >= PUBLISH_INTERVAL_MS;
        QuarantineUpdate update = quarantine.update();
        boolean empty = update.suspects().isEmpty() && update.quarantined().isEmpty();
        if (changed || (due && !empty)) {
            publishedAtMs = clock.nowMs();
            followerSender.accept(update);
        }
    }

    private void sendReport() {
        QuarantineReport report = quarantine.report();
        if (!report.isEmpty()) {
            leaderSender.accept(node, report);
        }
    }

    /** Handles the report of another entry. */
    void onReport(String entry, QuarantineReport report) {
        quarantine.onReport(entry, report, clock.nowMs());
    }

    /** Applies an update of the leader. */
    void onUpdate(QuarantineUpdate update) {
        quarantine.onUpdate(update);
        reconsiderCalls.run();
    }

    /** Publishes to a follower that has just connected. */
    void onFollowerConnected() {
        publish(true);
    }
}

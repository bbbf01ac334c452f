package org.hawthornglade.gateway.leader;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.hawthornglade.core.replica.AdapterWait;
import org.hawthornglade.core.replica.OrderAction;
import org.hawthornglade.core.replica.OrderOutcome;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.log.LogLine;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Counts what the leader sends and what adapters wait for, and logs it once a second. */
final class LeaderActivity {
    private static final long LOG_INTERVAL_MS = 1_000;

    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Map<AdapterWait, Integer> adapterWaits = new EnumMap<>(AdapterWait.class);
    private long sinceMs;
    private int publications;
    private long publishedBytes;
    private int adapterLoads;
    private int adapterUnloads;
    private int modelOrders;
    private int unansweredOrders;
    private int failedReports;

    LeaderActivity(Clock clock, EventLog log, GatewayMetrics metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Counts a publication; {@code bytes} is its size over all followers. */
    void onPublished(long bytes) {
        publications++;
        publishedBytes += bytes;
        metrics.count("placement_publications");
        metrics.add("placement_bytes", bytes);
    }

    void onOrderSent(ReplicaOrder order) {
        if (order.adapter().isEmpty()) {
            modelOrders++;
        } else if (order.action() == OrderAction.LOAD) {
            adapterLoads++;
        } else {
            adapterUnloads++;
        }
    }

    void onOrderAnswered(OrderOutcome outcome) {
        unansweredOrders += outcome == OrderOutcome.UNKNOWN ? 1 : 0;
    }

    void onReportFailed() {
        failedReports++;
        metrics.count("engine_reports_failed");
    }

    /** Records what adapters wait for in the newest round; the highest numbers of a second are logged. */
    void onAdapterWaits(Map<AdapterWait, Integer> waits) {
        waits.forEach((wait, adapters) -> adapterWaits.merge(wait, adapters, Math::max));
    }

    /** Logs what was counted, once a second; to be called in each round. */
    void check() {
        long nowMs = clock.nowMs();
        if (nowMs - sinceMs < LOG_INTERVAL_MS) {
            return;
        }
        LogLine line = log.event("leader-activity")
                .with("publications", publications)
                .with("bytes", publishedBytes)
                .with("adapter_loads", adapterLoads)
                .with("adapter_unloads", adapterUnloads)
                .with("model_orders", modelOrders)
                .with("unanswered", unansweredOrders)
                .with("reports_failed", failedReports);
        adapterWaits.forEach(
                (wait, adapters) -> line.with("adapters_" + wait.name().toLowerCase(Locale.ROOT), adapters));
        line.write();
        reset(nowMs);
    }

    private void reset(long nowMs) {
        sinceMs = nowMs;
        publications = 0;
        publishedBytes = 0;
        adapterLoads = 0;
        adapterUnloads = 0;
        modelOrders = 0;
        unansweredOrders = 0;
        failedReports = 0;
        adapterWaits.clear();
    }
}

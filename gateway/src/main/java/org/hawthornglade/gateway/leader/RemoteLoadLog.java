package org.hawthornglade.gateway.leader;

import java.util.Locale;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.replica.CopyReason;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.core.replica.OrderAction;
import org.hawthornglade.core.replica.RemoteLoadListener;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Logs and counts the loads from the weight store. */
final class RemoteLoadLog implements RemoteLoadListener {
    private final EventLog log;
    private final GatewayMetrics metrics;

    RemoteLoadLog(EventLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void onEnded(InstanceId instance, ModelName model, long tookMs, long nominalMs, int concurrent) {
        metrics.count("store_loads");
        log.event("store-load-ended")
                .with("instance", instance)
                .with("model", model)
                .with("took_ms", tookMs)
                .with("nominal_ms", nominalMs)
                .with("at_once", concurrent)
                .write();
    }

    @Override
    public void onOverdue(InstanceId instance, ModelName model, long sinceMs, long nominalMs, int concurrent) {
        metrics.count("store_loads_late");
        log.event("store-load-late")
                .with("instance", instance)
                .with("model", model)
                .with("since_ms", sinceMs)
                .with("nominal_ms", nominalMs)
                .with("at_once", concurrent)
                .write();
    }

    @Override
    public void onCopyOrder(ReplicaOrder order, ModelName fetched, CopyReason reason) {
        String name = reason.name().toLowerCase(Locale.ROOT);
        metrics.count((order.action() == OrderAction.LOAD ? "copy_loads_" : "copy_evictions_") + name);
        log.event("copy-order")
                .with("instance", order.instance())
                .with("action", order.action())
                .with("model", order.model())
                .with("fetched", fetched)
                .with("reason", name)
                .write();
    }

    @Override
    public void onLimitsChanged(LoadLimits limits, String cause) {
        metrics.set("store_loads_proven", limits.proven());
        log.event("store-load-limits")
                .with("proven", limits.proven())
                .with("most", limits.max())
                .with("cause", cause)
                .write();
    }
}

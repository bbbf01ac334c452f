package org.hawthornglade.core.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.serving.Route;

/** What the decisions need to know of one call. */
public final class CallView {
    private final ServiceName service;
    private final Route route;
    private final Optional<ModelDemand> demand;
    private final long arrivedAtMs;
    private final long deadlineAtMs;
    private final Set<InstanceId> tried = new HashSet<>();
    private long lastProgressAtMs;

    /**
     * Describes a call.
     *
     * @param service the target chosen out of the route's services
     * @param demand present where the service runs models
     * @param arrivedAtMs when it was read
     * @param deadlineAtMs when its caller or its route gives up on it
     */
    public CallView(
            ServiceName service, Route route, Optional<ModelDemand> demand, long arrivedAtMs, long deadlineAtMs) {
        this.service = service;
        this.route = route;
        this.demand = demand;
        this.arrivedAtMs = arrivedAtMs;
        this.deadlineAtMs = deadlineAtMs;
        this.lastProgressAtMs = arrivedAtMs;
    }

    public ServiceName service() {
        return service;
    }

    public Route route() {
        return route;
    }

    public Optional<ModelDemand> demand() {
        return demand;
    }

    public long arrivedAtMs() {
        return arrivedAtMs;
    }

    public long deadlineAtMs() {
        return deadlineAtMs;
    }

    /** Returns when the caller leaves if nothing more of the answer has come by then. */
    public long abandonAtMs() {
        return Math.min(deadlineAtMs, lastProgressAtMs + route.abandonMs());
    }

    /** Returns when the caller last got a part of its answer; the arrival if it has got nothing yet. */
    public long lastProgressAtMs() {
        return lastProgressAtMs;
    }

    /** Takes note that the caller has got a part of its answer. */
    public void onProgress(long nowMs) {
        lastProgressAtMs = nowMs;
    }

    /** Returns the instances that this call was sent to. */
    public Set<InstanceId> tried() {
        return tried;
    }

    public long remainingMs(long nowMs) {
        return deadlineAtMs - nowMs;
    }
}

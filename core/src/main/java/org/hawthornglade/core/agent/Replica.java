package org.hawthornglade.core.agent;

import org.hawthornglade.core.chart.ChartInstance;
import org.hawthornglade.core.chart.Charts;
import org.hawthornglade.core.chart.ReplicaEvent;
import org.hawthornglade.core.chart.ReplicaState;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.id.ModelName;

/** Tracks the state of one model or adapter on an engine and the order whose effect is not yet reported. */
final class Replica {
    private static final long NOT_YET_ACCEPTED = Long.MAX_VALUE;
    private static final long NO_UNCONFIRMED_UNLOAD = -1;

    private final ModelName name;
    private final ChartInstance<ReplicaState, ReplicaEvent> chart = Charts.REPLICA.start();
    private ModelName base;
    private String version = "";
    private EngineOrder openOrder;
    private long openOrderSequence;
    private long unconfirmedUnloadFence = NO_UNCONFIRMED_UNLOAD;
    private boolean loadUnconfirmed;
    private int failures;
    private long retryAtMs;
    private long lastUsedAtMs;
    private long loadDecidedAtMs;
    private long loadOrderedAtMs;
    private int concurrentLoads;
    private CheckpointTier loadTier = CheckpointTier.REMOTE;

    Replica(ModelName name, long nowMs) {
        this.name = name;
        this.lastUsedAtMs = nowMs;
    }

    ModelName name() {
        return name;
    }

    /** Returns the base model of an adapter; null for a base model. */
    ModelName base() {
        return base;
    }

    String version() {
        return version;
    }

    ReplicaState state() {
        return chart.state();
    }

    boolean isReady() {
        return state() == ReplicaState.READY;
    }

    boolean isDrainingOrUnloading() {
        return state() == ReplicaState.DRAINING || state() == ReplicaState.UNLOADING;
    }

    /** Returns whether the effect of an order is not yet reported, or the delay before a retry has not passed. */
    boolean isOrderPending(long nowMs) {
        return openOrder != null || nowMs < retryAtMs;
    }

    boolean hasOpenOrder() {
        return openOrder != null;
    }

    /** Returns whether a load may be ordered. False while an earlier unload may still reach the engine. */
    boolean mayLoad(long nowMs) {
        boolean absent = state() == ReplicaState.ABSENT || state() == ReplicaState.WAITING;
        boolean repeat = state() == ReplicaState.LOADING && loadUnconfirmed;
        return (absent || repeat) && !isOrderPending(nowMs) && unconfirmedUnloadFence == NO_UNCONFIRMED_UNLOAD;
    }

    void decideLoad(long nowMs) {
        if (fire(ReplicaEvent.LOAD_DECIDED)) {
            loadDecidedAtMs = nowMs;
        }
    }

    void abandonLoad() {
        fire(ReplicaEvent.LOAD_ABANDONED);
    }

    /**
     * Decides to unload the replica.
     *
     * @return whether the state changed; false if the replica is absent, draining or already unloading
     */
    boolean decideUnload() {
        return fire(ReplicaEvent.UNLOAD_DECIDED);
    }

    void onOrderSent(EngineOrder order, long nowMs) {
        openOrder = order;
        openOrderSequence = NOT_YET_ACCEPTED;
        if (order.kind() == EngineOrder.Kind.LOAD) {
            base = order.base();
            version = order.version();
            loadOrderedAtMs = nowMs;
            loadUnconfirmed = false;
            fire(ReplicaEvent.LOAD_ORDERED);
        } else {
            fire(ReplicaEvent.DRAINED);
        }
    }

    void recordLoadConditions(CheckpointTier tier, int otherLoads) {
        loadTier = tier;
        concurrentLoads = otherLoads;
    }

    /** Records that the current engine run accepted the open order. */
    void onOrderAccepted(long orderSequence) {
        openOrderSequence = orderSequence;
    }

    /** Records that the open order had no effect. */
    void onOrderRefused(EngineOrder order, long nextAtMs) {
        openOrder = null;
        failures++;
        retryAtMs = nextAtMs;
        if (order.kind() == EngineOrder.Kind.LOAD) {
            fire(ReplicaEvent.LOAD_FAILED);
        }
    }

    /**
     * Records that the outcome of the open order is unknown and that it may still take effect.
     *
     * @param orderFence a fencing number; the order counts as open until the engine confirms a higher one
     */
    void onOrderOutcomeUnknown(EngineOrder order, long orderFence, long nextAtMs) {
        openOrder = null;
        failures++;
        retryAtMs = nextAtMs;
        loadUnconfirmed = order.kind() == EngineOrder.Kind.LOAD;
        if (!loadUnconfirmed) {
            unconfirmedUnloadFence = orderFence;
        }
    }

    boolean isOpenOrder(EngineOrder order) {
        return order.equals(openOrder);
    }

    /** Records that the engine refuses orders with a lower fencing number. */
    void onFenceRaised(long fencingNumber) {
        if (unconfirmedUnloadFence < fencingNumber) {
            unconfirmedUnloadFence = NO_UNCONFIRMED_UNLOAD;
        }
    }

    int failures() {
        return failures;
    }

    void onEngineRestart() {
        if (openOrder != null && openOrderSequence != NOT_YET_ACCEPTED) {
            openOrder = null;
        }
    }

    /**
     * Updates the state from a report of the engine.
     *
     * @param report the report
     * @param reported this replica as the report shows it; null if the report does not contain it
     * @param loadMayStillTakeEffect whether a load with an unknown outcome may still take effect
     */
    void observe(EngineReport report, EngineModel reported, boolean loadMayStillTakeEffect) {
        if (openOrder != null && openOrderSequence > report.orderSequence()) {
            return;
        }
        openOrder = null;
        if (reported == null) {
            boolean mayAppear = loadMayStillTakeEffect && loadUnconfirmed;
            if (state() != ReplicaState.WAITING && !mayAppear) {
                loadUnconfirmed = false;
                fire(ReplicaEvent.GONE_REPORTED);
            }
            return;
        }
        loadUnconfirmed = false;
        base = reported.base();
        version = reported.version();
        // A waiting replica ignores the outcome of a load; an absent one accepts it.
        abandonLoad();
        switch (reported.state()) {
            case LOADING -> fire(ReplicaEvent.LOAD_ORDERED);
            case READY -> becomeReady();
            case HALF_PRESENT -> becomeHalfPresent();
            case UNLOADING -> becomeUnloading();
        }
    }

    private void becomeReady() {
        if (fire(ReplicaEvent.LOAD_FINISHED)) {
            failures = 0;
        }
    }

    private void becomeHalfPresent() {
        if (isReady() || state() == ReplicaState.DRAINING) {
            fire(ReplicaEvent.GONE_REPORTED);
        }
        fire(ReplicaEvent.LOAD_FAILED);
    }

    private void becomeUnloading() {
        fire(ReplicaEvent.LOAD_ORDERED);
        fire(ReplicaEvent.UNLOAD_DECIDED);
        fire(ReplicaEvent.DRAINED);
    }

    private boolean fire(ReplicaEvent event) {
        return chart.fire(event).isRight();
    }

    void markUsed(long nowMs) {
        lastUsedAtMs = Math.max(lastUsedAtMs, nowMs);
    }

    long lastUsedAtMs() {
        return lastUsedAtMs;
    }

    long loadDecidedAtMs() {
        return loadDecidedAtMs;
    }

    /** Returns when the last load was ordered, in milliseconds; 0 if this process ordered none. */
    long loadOrderedAtMs() {
        return loadOrderedAtMs;
    }

    int concurrentLoads() {
        return concurrentLoads;
    }

    CheckpointTier loadTier() {
        return loadTier;
    }

    /** Returns whether the replica has no state that must be kept. */
    boolean isRemovable(long nowMs) {
        return state() == ReplicaState.ABSENT
                && !isOrderPending(nowMs)
                && unconfirmedUnloadFence == NO_UNCONFIRMED_UNLOAD;
    }
}

package org.hawthornglade.core.replica;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.AdapterName;

/** Tracks a model that is loaded, loading or unloading on an engine, with its adapters. */
final class ResidentModel {
    private final Map<AdapterName, Long> adapterReadyAtMs = new HashMap<>();
    private final Map<AdapterName, Long> adapterUsedAtMs = new HashMap<>();
    private ReplicaStatus status;
    private long readyAtMs;
    private long readySinceMs;

    ResidentModel(ReplicaStatus status, long readyAtMs) {
        this.status = status;
        this.readyAtMs = readyAtMs;
    }

    ReplicaStatus status() {
        return status;
    }

    long readyAtMs() {
        return readyAtMs;
    }

    void readyAtMs(long atMs) {
        readyAtMs = atMs;
    }

    boolean ready() {
        return status == ReplicaStatus.READY;
    }

    void setStatus(ReplicaStatus newStatus, long nowMs) {
        status = newStatus;
        readyAtMs = 0;
        readySinceMs = nowMs;
    }

    /** Returns when the model became ready, in milliseconds; 0 if it was ready when the engine was first seen. */
    long readySinceMs() {
        return readySinceMs;
    }

    Map<AdapterName, Long> adapters() {
        return adapterReadyAtMs;
    }

    void putAdapter(AdapterName adapter, long atMs) {
        adapterReadyAtMs.put(adapter, atMs);
        adapterUsedAtMs.put(adapter, atMs);
    }

    void removeAdapter(AdapterName adapter) {
        adapterReadyAtMs.remove(adapter);
        adapterUsedAtMs.remove(adapter);
    }

    long adapterUsedAtMs(AdapterName adapter) {
        return adapterUsedAtMs.getOrDefault(adapter, 0L);
    }

    void adapterUsed(AdapterName adapter, long nowMs) {
        adapterUsedAtMs.put(adapter, nowMs);
    }

    ReplicaState state(long nowMs) {
        Map<AdapterName, ReplicaStatus> adapters = new HashMap<>();
        adapterReadyAtMs.forEach(
                (adapter, atMs) -> adapters.put(adapter, atMs <= nowMs ? ReplicaStatus.READY : ReplicaStatus.LOADING));
        return new ReplicaState(status, readyAtMs, adapters);
    }
}

package org.hawthornglade.bench.experiment;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.ModelName;

/** Models one replica assigned to an instance: its state and the demand reported for it. */
final class ReplicaModel {
    private static final int CACHED_PREFIXES = 2;

    /** The load state of a replica. */
    enum State {
        ABSENT,
        LOADING,
        READY
    }

    final ModelProfile model;
    final int ordinal;
    final CheckpointTier tier;
    final Demand[] demand;
    final int[] runningOf;
    final Set<ModelName> adapters = new HashSet<>();
    final Deque<Long> prefixes = new ArrayDeque<>();
    State state = State.ABSENT;
    int running;
    int load;
    int servedSinceLoad;
    boolean prewarmed;
    long loadStartedAtMs;
    long expectedReadyAtMs;
    long idleSinceMs;
    long idleAccountedMs;
    long wantedSinceMs = -1;
    long stepAtMs = -1;
    long needs;
    WeightStoreModel.Transfer transfer;

    ReplicaModel(ModelProfile model, int ordinal, CheckpointTier tier, int entries) {
        this.model = model;
        this.ordinal = ordinal;
        this.tier = tier;
        this.demand = new Demand[entries];
        this.runningOf = new int[entries];
        Arrays.fill(demand, Demand.NONE);
    }

    ModelName name() {
        return model.name();
    }

    int reservedMb() {
        return model.spec().reservedMb();
    }

    boolean held() {
        return state != State.ABSENT;
    }

    boolean ready() {
        return state == State.READY;
    }

    boolean idle(long nowMs) {
        return state == State.READY && running == 0 && totalDemand(nowMs).wanted() == 0;
    }

    Demand totalDemand(long nowMs) {
        Demand total = Demand.NONE;
        for (Demand one : demand) {
            total = total.plus(one, nowMs);
        }
        return total;
    }

    /** Returns whether a prompt prefix is cached, and caches it. */
    boolean touchPrefix(long prefixHash) {
        boolean hit = prefixes.remove(prefixHash);
        prefixes.addFirst(prefixHash);
        if (prefixes.size() > CACHED_PREFIXES) {
            prefixes.removeLast();
        }
        return hit;
    }
}

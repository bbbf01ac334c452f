package org.hawthornglade.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.notice.EndpointNotices;

/** One instance as an entry sees it: its record, the models on it, and the work that is under way there. */
public final class Endpoint {
    private final EndpointHealth health = new EndpointHealth();
    private EndpointNotices notices = new EndpointNotices();
    private Permits permits = new Permits();
    private final EndpointLoad load = new EndpointLoad();
    private final PrefixCache prefixCache = new PrefixCache();
    private final Map<ModelName, Long> excludedUntilMs = new HashMap<>();
    private InstanceRecord record;
    private InstancePlacement placement;
    private InstancePlacement lastPlacement;

    Endpoint(InstanceRecord listed) {
        this.record = listed;
    }

    public InstanceId id() {
        return record.id();
    }

    public InstanceRecord record() {
        return record;
    }

    public EndpointHealth health() {
        return health;
    }

    /** Returns what this start of the instance has said of itself. */
    public EndpointNotices notices() {
        return notices;
    }

    /** Returns this entry's permits for an instance that takes a limited number of requests. */
    public Permits permits() {
        return permits;
    }

    /** Returns whether the instance leaves, by the list or by its own word. */
    public boolean leaving() {
        return record.leaving() || notices.leaving().received();
    }

    public EndpointLoad load() {
        return load;
    }

    public PrefixCache prefixCache() {
        return prefixCache;
    }

    void record(InstanceRecord newer) {
        if (newer.bornMs() != record.bornMs()) {
            placement = null;
            lastPlacement = null;
            prefixCache.clear();
            notices = new EndpointNotices();
            permits = new Permits();
        }
        record = newer;
    }

    /** Takes what the leader tells; what refers to another start of the instance is left aside. */
    void onPlacement(InstancePlacement told) {
        if (told.bornMs() == record.bornMs()) {
            placement = told;
            lastPlacement = told;
        }
    }

    /** Returns what a leader told last, even if that leader is gone. */
    public Optional<InstancePlacement> lastPlacement() {
        return Optional.ofNullable(lastPlacement);
    }

    void clearPlacement() {
        placement = null;
    }

    /** Returns what is known of a model here: by the leader if there is one, else by the list. */
    public Optional<ReplicaState> replica(ModelName model) {
        if (placement != null) {
            return Optional.ofNullable(placement.models().get(model));
        }
        if (!record.models().containsKey(model)) {
            return Optional.empty();
        }
        Map<AdapterName, ReplicaStatus> adapters = new HashMap<>();
        record.models().get(model).forEach(adapter -> adapters.put(adapter, ReplicaStatus.READY));
        return Optional.of(new ReplicaState(ReplicaStatus.READY, 0, adapters));
    }

    /** Leaves a model of this instance alone for a while after the instance refused it. */
    public void excludeModel(ModelName model, long untilMs) {
        excludedUntilMs.put(model, untilMs);
    }

    /** Returns whether requests for a model and an optional adapter would run here now. */
    public boolean serves(ModelName model, Optional<AdapterName> adapter, long nowMs) {
        if (excludedUntilMs.getOrDefault(model, 0L) > nowMs) {
            return false;
        }
        Optional<ReplicaState> replica = replica(model);
        if (replica.isEmpty() || replica.get().status() != ReplicaStatus.READY) {
            return false;
        }
        return adapter.isEmpty() || replica.get().adapters().get(adapter.get()) == ReplicaStatus.READY;
    }
}

package org.hawthornglade.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.notice.EndpointNotices;
import org.hawthornglade.core.pace.ServerPace;

/** Tracks one instance as known to an entry: its record on the platform's list, its models, its load and its health. */
public final class Endpoint {
    private EndpointHealth health = new EndpointHealth();
    private EndpointNotices notices = new EndpointNotices();
    private Permits permits = new Permits();
    private StartDoubt startDoubt = new StartDoubt();
    private ServerPace pace;
    private final EndpointLoad load = new EndpointLoad();
    private final PrefixCache prefixCache = new PrefixCache();
    private final Map<ModelName, Long> excludedUntilMs = new HashMap<>();
    private InstanceRecord record;
    private InstancePlacement placement;
    private InstancePlacement lastPlacement;

    Endpoint(InstanceRecord listed) {
        this.record = listed;
        this.pace = new ServerPace(listed.slots());
    }

    public InstanceId id() {
        return record.id();
    }

    public InstanceRecord record() {
        return record;
    }

    /** Returns the health of this run of the instance. */
    public EndpointHealth health() {
        return health;
    }

    /** Returns the notices that this run of the instance has announced in its responses. */
    public EndpointNotices notices() {
        return notices;
    }

    /** Returns this entry's permits, which are needed if the instance advertises a rate limit. */
    public Permits permits() {
        return permits;
    }

    /** Returns whether the instance may run since another start than that of its record. */
    public StartDoubt startDoubt() {
        return startDoubt;
    }

    /** Returns the service rate and the concurrency limit of this run of the instance. */
    public ServerPace pace() {
        return pace;
    }

    /** Returns whether the instance is leaving, according to the list or to its own notice. */
    public boolean leaving() {
        return record.leaving() || notices.leaving().received();
    }

    public EndpointLoad load() {
        return load;
    }

    public PrefixCache prefixCache() {
        return prefixCache;
    }

    void onRecord(InstanceRecord newer) {
        if (newer.bornMs() != record.bornMs()) {
            placement = null;
            lastPlacement = null;
            prefixCache.clear();
            health = new EndpointHealth();
            notices = new EndpointNotices();
            permits = new Permits();
            startDoubt = new StartDoubt();
            pace = new ServerPace(newer.slots());
        }
        record = newer;
    }

    /** Applies a placement reported by the leader, unless it refers to another run of the instance. */
    void onPlacement(InstancePlacement reported) {
        if (reported.bornMs() == record.bornMs()) {
            boolean firstModel = lastPlacement != null && !hasReadyModel(lastPlacement) && hasReadyModel(reported);
            if (firstModel) {
                pace.restart();
            }
            placement = reported;
            lastPlacement = reported;
        }
    }

    private static boolean hasReadyModel(InstancePlacement of) {
        return of.models().values().stream().anyMatch(state -> state.status() == ReplicaStatus.READY);
    }

    /** Returns the placement that a leader reported last, even if that leader has been lost since. */
    public Optional<InstancePlacement> lastPlacement() {
        return Optional.ofNullable(lastPlacement);
    }

    void clearPlacement() {
        placement = null;
    }

    /** Returns the state of a model on this instance: as reported by the leader if there is one, else by the list. */
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

    /** Sends no requests for a model to this instance until a given time, after the instance has refused one. */
    public void excludeModel(ModelName model, long untilMs) {
        excludedUntilMs.put(model, untilMs);
    }

    /** Returns whether requests for a model and an optional adapter can be served by this instance now. */
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

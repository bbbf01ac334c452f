package org.hawthornglade.gateway.peer;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.lease.FencingToken;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;

/** Engines whose adapters and calls change at random, as a leader would publish them. */
final class PublishedEngines {
    private static final int ADAPTER_SLOTS = 8;
    private static final int MAX_RUNNING = 30;
    /** A planned load stays on its engine for so many rounds on average. */
    private static final int PLANNED_STAY = 10;

    private static final long PLANNED_LOAD_MS = 10_000;

    private final Random random;
    private final int entries;
    private final Map<InstanceId, InstancePlacement> placements = new LinkedHashMap<>();
    private final Map<InstanceId, Integer> running = new HashMap<>();
    private final Map<InstanceId, Long> runningLoads = new LinkedHashMap<>();
    private final Map<ModelName, InstanceId> plannedLoads = new LinkedHashMap<>();

    PublishedEngines(int engines, int entries, long seed) {
        this.random = new Random(seed);
        this.entries = entries;
        for (int i = 0; i < engines; i++) {
            InstanceId id = InstanceId.of(String.format("i-%010x", i));
            Map<AdapterName, ReplicaStatus> adapters = new HashMap<>();
            for (int slot = 0; slot < ADAPTER_SLOTS; slot++) {
                adapters.put(AdapterName.of("a" + slot), ReplicaStatus.READY);
            }
            ModelName model = ModelName.of("model" + i % 40);
            placements.put(
                    id,
                    new InstancePlacement(id, 1, Map.of(model, new ReplicaState(ReplicaStatus.READY, 0, adapters))));
        }
    }

    /** Replaces an adapter of one engine, and returns the engine. */
    @CanIgnoreReturnValue
    InstanceId changeAdapter() {
        List<InstanceId> ids = new ArrayList<>(placements.keySet());
        InstanceId id = ids.get(random.nextInt(ids.size()));
        InstancePlacement old = placements.get(id);
        InstancePlacement changed = old;
        while (changed.equals(old)) {
            changed = withOtherAdapter(old);
        }
        placements.put(id, changed);
        return id;
    }

    private InstancePlacement withOtherAdapter(InstancePlacement old) {
        Map<ModelName, ReplicaState> models = new HashMap<>();
        old.models().forEach((model, state) -> {
            Map<AdapterName, ReplicaStatus> adapters = new HashMap<>(state.adapters());
            adapters.remove(adapters.keySet().iterator().next());
            adapters.put(AdapterName.of("b" + random.nextInt(100)), ReplicaStatus.READY);
            models.put(model, new ReplicaState(state.status(), state.readyAtMs(), adapters));
        });
        return new InstancePlacement(old.instance(), old.bornMs(), models);
    }

    /** Changes how many calls run, at each engine. */
    void changeRunning() {
        placements.keySet().forEach(id -> running.put(id, random.nextInt(MAX_RUNNING)));
    }

    /**
     * Begins a load on each third engine, and plans as many more.
     *
     * @param readyAtMs when the loads are expected to end
     */
    void startLoads(long readyAtMs) {
        List<InstanceId> ids = new ArrayList<>(placements.keySet());
        for (int i = 0; i < ids.size(); i += 3) {
            runningLoads.put(ids.get(i), readyAtMs);
            plannedLoads.put(ModelName.of("planned" + i), ids.get(random.nextInt(ids.size())));
        }
    }

    /** Begins a load of a model that no engine loads. */
    void startNewLoad(long readyAtMs) {
        plannedLoads.put(ModelName.of("new"), placements.keySet().iterator().next());
        runningLoads.put(placements.keySet().iterator().next(), readyAtMs);
    }

    /** Moves the expected end of each running load. */
    void moveLoads(long byMs) {
        runningLoads.replaceAll((id, readyAtMs) -> readyAtMs + byMs);
    }

    /** Changes the expected end of each load a little, and plans some loads on other engines, as each round does. */
    void replanLoads() {
        List<InstanceId> ids = new ArrayList<>(placements.keySet());
        runningLoads.replaceAll((id, readyAtMs) -> readyAtMs + random.nextInt(41) - 20);
        plannedLoads.replaceAll(
                (model, id) -> random.nextInt(PLANNED_STAY) > 0 ? id : ids.get(random.nextInt(ids.size())));
    }

    /** Removes an engine. */
    void removeEngine() {
        InstanceId id = placements.keySet().iterator().next();
        placements.remove(id);
        running.remove(id);
        runningLoads.remove(id);
    }

    /** Returns all placements, as the leader knows them. */
    PlacementUpdate update() {
        return new PlacementUpdate(
                true,
                new FencingToken(7),
                new StoreRevision(new StoreEra(2), 3),
                withLoads(),
                List.of(),
                running,
                entries,
                Map.of(ServiceName.of("drafts"), new LoadLimits(1, 1)));
    }

    private List<InstancePlacement> withLoads() {
        Map<InstanceId, Map<ModelName, ReplicaState>> loads = new HashMap<>();
        runningLoads.forEach((id, readyAtMs) -> putLoad(loads, id, ModelName.of("loading"), readyAtMs));
        plannedLoads.forEach((model, id) -> {
            long startMs = runningLoads.getOrDefault(id, PLANNED_LOAD_MS);
            putLoad(loads, id, model, startMs + PLANNED_LOAD_MS);
        });
        List<InstancePlacement> all = new ArrayList<>();
        placements.forEach((id, placement) -> {
            Map<ModelName, ReplicaState> models = new HashMap<>(placement.models());
            models.putAll(loads.getOrDefault(id, Map.of()));
            all.add(new InstancePlacement(id, placement.bornMs(), models));
        });
        return all;
    }

    private static void putLoad(
            Map<InstanceId, Map<ModelName, ReplicaState>> loads, InstanceId id, ModelName model, long readyAtMs) {
        loads.computeIfAbsent(id, absent -> new HashMap<>())
                .put(model, new ReplicaState(ReplicaStatus.LOADING, readyAtMs, Map.of()));
    }
}

package org.hawthornglade.core.replica;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/** Tracks the models that are loaded, loading or unloading in the accelerator memory of an engine. */
final class ResidentModels {
    private final Map<ModelName, ResidentModel> models = new HashMap<>();

    Map<ModelName, ResidentModel> all() {
        return models;
    }

    Optional<ResidentModel> get(ModelName model) {
        return Optional.ofNullable(models.get(model));
    }

    void clear() {
        models.clear();
    }

    /** Adds the models that the engine holds; a load of a model that it holds has ended. */
    void add(Map<ModelName, Set<AdapterName>> held, long nowMs) {
        held.forEach((model, adapters) -> {
            ResidentModel resident = models.computeIfAbsent(model, name -> new ResidentModel(ReplicaStatus.READY, 0));
            endLoad(resident, nowMs);
            for (AdapterName adapter : adapters) {
                if (!resident.adapters().containsKey(adapter)) {
                    resident.putAdapter(adapter, 0);
                }
            }
        });
    }

    /** Replaces the models by those that an engine without an order in progress holds. */
    void replace(Map<ModelName, Set<AdapterName>> held, long nowMs) {
        models.values().removeIf(resident -> resident.status() == ReplicaStatus.UNLOADING);
        add(held, nowMs);
        models.keySet().retainAll(held.keySet());
    }

    /**
     * Compares the models with a record, which may be older than the last order, and ends the changes that it shows.
     *
     * @return whether the record agrees with the tracked models
     */
    boolean reconcile(Set<ModelName> recorded, long nowMs) {
        boolean agrees = models.keySet().containsAll(recorded);
        for (ModelName model : recorded) {
            get(model).ifPresent(resident -> endLoad(resident, nowMs));
        }
        models.entrySet()
                .removeIf(entry ->
                        entry.getValue().status() == ReplicaStatus.UNLOADING && !recorded.contains(entry.getKey()));
        for (Map.Entry<ModelName, ResidentModel> entry : models.entrySet()) {
            agrees &= !entry.getValue().ready() || recorded.contains(entry.getKey());
        }
        return agrees;
    }

    private static void endLoad(ResidentModel resident, long nowMs) {
        if (resident.status() == ReplicaStatus.LOADING) {
            resident.setStatus(ReplicaStatus.READY, nowMs);
        }
    }

    /** Returns whether a model is being loaded or unloaded. */
    boolean changing() {
        for (ResidentModel resident : models.values()) {
            if (!resident.ready()) {
                return true;
            }
        }
        return false;
    }

    /** Returns when the last of the running loads is expected to end, in milliseconds; 0 if none runs. */
    long loadsEndAtMs() {
        long endAtMs = 0;
        for (ResidentModel resident : models.values()) {
            if (resident.status() == ReplicaStatus.LOADING) {
                endAtMs = Math.max(endAtMs, resident.readyAtMs());
            }
        }
        return endAtMs;
    }

    double usedMb(EngineDefinition engine) {
        double usedMb = 0;
        for (Map.Entry<ModelName, ResidentModel> entry : models.entrySet()) {
            ModelDefinition model = engine.models().get(entry.getKey());
            if (model == null) {
                // The size of a model that is no longer configured is unknown, so that nothing more may be loaded
                // beside it.
                return engine.modelMemoryMb();
            }
            usedMb += model.sizeMb()
                    + model.adapterMb() * entry.getValue().adapters().size();
        }
        return usedMb;
    }

    int adapterCount() {
        int count = 0;
        for (ResidentModel resident : models.values()) {
            count += resident.adapters().size();
        }
        return count;
    }

    Map<ModelName, ReplicaState> states(long nowMs) {
        Map<ModelName, ReplicaState> states = new HashMap<>();
        models.forEach((model, resident) -> states.put(model, resident.state(nowMs)));
        return states;
    }
}

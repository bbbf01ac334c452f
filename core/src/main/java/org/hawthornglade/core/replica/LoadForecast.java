package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Forecasts when the models that calls wait for will be ready, and on which engine.
 *
 * <p>Each load in turn is scheduled on the engine that would finish it first. Unloads and memory that cannot be freed
 * are not counted, so that a model may be ready later than forecast but hardly sooner.
 */
final class LoadForecast {
    private final EngineDefinition engine;
    private final Collection<EngineReplicaTracker> trackers;
    private final long nowMs;
    private final RemoteLoadSlots slots;
    private final Map<EngineReplicaTracker, Long> freeAtMs = new HashMap<>();
    private final Map<InstanceId, Map<ModelName, Long>> readyAtMs = new HashMap<>();

    LoadForecast(EngineDefinition engine, Collection<EngineReplicaTracker> trackers, int remoteSlots, long nowMs) {
        this.engine = engine;
        this.trackers = trackers;
        this.nowMs = nowMs;
        this.slots = new RemoteLoadSlots(trackers, remoteSlots, nowMs);
    }

    /**
     * Returns when each model will be ready, by instance.
     *
     * @param awaited the models that calls wait for and that are on no engine, in the order in which they will be
     *     loaded
     */
    Map<InstanceId, Map<ModelName, Long>> forecast(List<ModelName> awaited) {
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker.usable()) {
                freeAtMs.put(tracker, nowMs + tracker.freeInMs(nowMs));
                tracker.incomingModel().ifPresent(model -> schedule(tracker, model));
            }
        }
        for (ModelName model : awaited) {
            scheduleWhereSoonest(model);
        }
        return readyAtMs;
    }

    private void scheduleWhereSoonest(ModelName model) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return;
        }
        EngineReplicaTracker best = null;
        long bestMs = Long.MAX_VALUE;
        for (EngineReplicaTracker tracker : freeAtMs.keySet()) {
            long endMs = startMs(tracker, model) + tracker.loadMs(definition);
            boolean sooner = endMs < bestMs || (endMs == bestMs && tracker.id().compareTo(best.id()) < 0);
            if (sooner) {
                best = tracker;
                bestMs = endMs;
            }
        }
        if (best != null) {
            schedule(best, model);
        }
    }

    private long startMs(EngineReplicaTracker tracker, ModelName model) {
        return tracker.hasLocalWeights(model)
                ? freeAtMs.get(tracker)
                : Math.max(freeAtMs.get(tracker), slots.nextFreeMs());
    }

    private void schedule(EngineReplicaTracker tracker, ModelName model) {
        ModelDefinition definition = engine.models().get(model);
        if (definition == null) {
            return;
        }
        long endMs = startMs(tracker, model) + tracker.loadMs(definition);
        if (!tracker.hasLocalWeights(model)) {
            slots.occupy(endMs);
        }
        freeAtMs.put(tracker, endMs);
        readyAtMs.computeIfAbsent(tracker.id(), id -> new HashMap<>()).put(model, endMs);
    }
}
